// Steps of a graceful shutdown.
#include "membership/DrainPlan.h"

namespace jj {

void DrainPlan::begin(TimePoint now)
{
    if (begun_)
        return;
    begun_ = true;
    begunAt_ = now;
    lastOpen_ = now;
    nextHandOver_ = now + settings_.spreadTime_;
}

std::vector<DrainAction> DrainPlan::tick(const DrainLoad& load, TimePoint now)
{
    std::vector<DrainAction> actions;
    if (!begun_ || ended_)
        return actions;
    if (!announced_) {
        announced_ = true;
        actions.insert(actions.end(), { DrainAction::NotReady, DrainAction::SpreadMark });
    }
    if (load.open() > 0)
        lastOpen_ = now;

    const Duration age = now - begunAt_;
    const bool spread = age >= settings_.spreadTime_;
    if (spread && !batchStopped_) {
        batchStopped_ = true;
        actions.push_back(DrainAction::StopBatch);
    }
    // Without anything queued it costs nothing, and batch streams that run here have to be moved too.
    if (spread && now >= nextHandOver_ && (load.queued_ > 0 || load.streams_ > 0)) {
        nextHandOver_ = now + settings_.handOverEvery_;
        actions.push_back(DrainAction::HandOver);
    }
    if (batchStopped_ && !leasesReleased_ && load.batchItems_ == 0) {
        leasesReleased_ = true;
        actions.push_back(DrainAction::ReleaseLeases);
    }

    const bool overdue = age >= settings_.bound_;
    const bool done = spread && load.open() == 0 && load.leases_ == 0 && now - lastOpen_ >= settings_.quietTime_;
    if (!done && !overdue)
        return actions;
    ended_ = true;
    exitCode_ = load.open() == 0 ? 0 : 1;
    actions.insert(actions.end(), { DrainAction::Farewell, DrainAction::Exit });
    return actions;
}

} // namespace jj
