// Empties this host when an operator asks for it, and reports how far it is.
//
// What a host holds is jobs that it owns; they go to other nodes, and then the host can be taken away.
#pragma once

#include "DecisionLog.h"
#include "StoreLink.h"
#include "serving/Translation.h"

#include <functional>
#include <string>

namespace jj {

class RetirementDuty {
public:
    // `begin`: no new jobs, hand over those held. `isEmpty`: none is left.
    RetirementDuty(StoreLink& store, const Translation& translation, DecisionLog& log, std::string host, std::function<void()> begin, std::function<bool()> isEmpty);

    void tick();
    // An operator's order to empty a host was found; others' are passed over.
    void learned(const std::string& key);

private:
    void report(bool completed);

    StoreLink& store_;
    const Translation& translation_;
    DecisionLog& log_;
    std::string key_; // of the order for this host
    std::function<void()> begin_;
    std::function<bool()> isEmpty_;
    bool asked_ = false;
    bool reported_ = false; // as completed
    bool reporting_ = false;
};

} // namespace jj
