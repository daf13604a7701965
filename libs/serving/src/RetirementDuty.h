// Drains this host when an operator orders its retirement, and reports the progress.
//
// Draining hands the jobs that the host owns over to other nodes. After that the host can be shut down.
#pragma once

#include "DecisionLog.h"
#include "StoreLink.h"
#include "serving/Translation.h"

#include <functional>
#include <string>

namespace jj {

class RetirementDuty {
public:
    // `startDraining` stops accepting jobs and starts handing over the owned ones. `isEmpty` returns whether no job is left.
    RetirementDuty(StoreLink& store, const Translation& translation, DecisionLog& log, std::string host, std::function<void()> startDraining, std::function<bool()> isEmpty);

    void tick();
    // Handles the key of a retirement order found in the store. Orders for other hosts are ignored.
    void onOrderFound(const std::string& key);

private:
    void report(bool completed);

    StoreLink& store_;
    const Translation& translation_;
    DecisionLog& log_;
    std::string key_; // key of the order for this host
    std::function<void()> startDraining_;
    std::function<bool()> isEmpty_;
    bool isOrdered_ = false;
    bool isCompletionReported_ = false;
    bool isReportInFlight_ = false;
};

} // namespace jj
