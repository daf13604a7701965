// Ways to keep quotas, on the same loads and seeds.
#include "QuotaFleet.h"

#include <doctest/doctest.h>

using namespace jj;

TEST_CASE("quotas: ways side by side")
{
    for (const std::size_t hosts : { 6, 64, 360 }) {
        for (const QuotaWay way : { QuotaWay::Accounts, QuotaWay::AskAlways, QuotaWay::DemandShare, QuotaWay::FixedShare }) {
            for (int load = 0; load < 4; ++load) {
                QuotaFleetShape shape;
                shape.hosts_ = hosts;
                shape.way_ = way;
                QuotaFleet fleet(shape, {}, 3);
                fleet.advance(2s);
                fleet.addWorkspaces(80, 380, 1.6);
                fleet.advance(3s);
                if (load == 1)
                    fleet.setLoad(2, 10);
                for (int step = 0; step < 2; ++step) {
                    fleet.setLoad(0.38);
                    fleet.advance(3800ms);
                    for (std::size_t host = 0; host < hosts && load >= 2; host += load == 2 ? 4 : 1)
                        fleet.kill(host);
                    fleet.advance(600ms);
                    for (std::size_t host = 0; host < hosts && load >= 2; host += load == 2 ? 4 : 1)
                        fleet.restart(host);
                    fleet.setLoad(1.84);
                    fleet.advance(2800ms);
                }
                const auto report = fleet.report();
                static const char* names[] = { "accounts", "ask always", "demand share", "fixed share" };
                static const char* loads[] = { "steps", "hot", "a quarter killed", "all killed" };
                MESSAGE(hosts, " hosts, ", names[static_cast<int>(way)], ", ", loads[load], ": refused of owed ", report.refusedShare_, ", worst workspace ", report.worstRefusedShare_, ", worst window ", report.worstWindow_, ", bytes ", report.bytesPerHostSecond_, ", asked ", report.totals_.asked_, " of ", report.arrived_);
            }
        }
    }
}
