// Two regions: spill-over, the link's budget, loss of the link.
#include "Bench.h"

using namespace jj;
using namespace jj::test;

namespace {

// One engine here, two in the other region whose home is a node there.
struct TwoRegions {
    Bench bench_ { 1 };

    explicit TwoRegions(std::uint64_t bytesPerSecond = 1'000'000)
    {
        bench_.feed(NodeChanged { NodeId(20), there, NodeState::Live });
        for (const std::uint64_t id : { 8ULL, 9ULL }) {
            UpstreamChanged engine;
            engine.upstream_ = UpstreamId(id);
            engine.service_ = service;
            engine.region_ = there;
            bench_.feed(engine);
        }
        bench_.feed(LinkChanged { there, true, bytesPerSecond, 12ms });
        bench_.tick(1s);
    }

    std::size_t crossed() const
    {
        std::size_t count = 0;
        for (const SendToHome& each : bench_.all<SendToHome>())
            count += each.home_ == NodeId(20) ? 1 : 0;
        return count;
    }

    // Fills the engine here so that new questions would wait for seconds.
    void fill()
    {
        for (std::uint64_t id = 1; id <= 20; ++id)
            bench_.arrive(id);
        bench_.tick(150ms);
    }
};

} // namespace

TEST_CASE("A request crosses the link only when its own region would break its deadline")
{
    TwoRegions site;
    site.fill();
    CHECK(site.crossed() == 0);
    RequestSpec hasty = site.bench_.spec(50);
    hasty.deadline_ = site.bench_.now() + 200ms;
    site.bench_.arrive(hasty);
    CHECK(site.crossed() == 1);
    RequestSpec patient = site.bench_.spec(51);
    patient.deadline_ = site.bench_.now() + 1min;
    site.bench_.arrive(patient);
    CHECK(site.crossed() == 1);
}

// The link is narrow and paid by the byte. A burst that crossed it whole would take the bytes of control and of answers.
TEST_CASE("Spill-over stops when the link's bytes are spent")
{
    TwoRegions site(8000);
    site.fill();
    for (std::uint64_t id = 50; id < 100; ++id) {
        RequestSpec hasty = site.bench_.spec(id);
        hasty.deadline_ = site.bench_.now() + 200ms;
        site.bench_.arrive(hasty);
    }
    // Half a second's bytes less a tenth, at 800 bytes a request and its answer.
    CHECK(site.crossed() == 4);
}

// The regions lose each other for an hour. Each goes on with its own engines; what would have crossed is refused at once.
TEST_CASE("With the link lost nothing is sent across and the own region is served")
{
    TwoRegions site;
    site.bench_.feed(LinkChanged { there, false, 1'000'000, 12ms });
    site.fill();
    RequestSpec hasty = site.bench_.spec(50);
    hasty.deadline_ = site.bench_.now() + 200ms;
    site.bench_.arrive(hasty);
    CHECK(site.crossed() == 0);
    CHECK(site.bench_.last<Refuse>().reason_ == RefusalReason::DeadlineUnreachable);
    CHECK(site.bench_.dispatches(1) == 1);
}
