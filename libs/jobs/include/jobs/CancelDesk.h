// Cancels jobs on request, on any node.
//
// The job is cancelled once its ledger says so; from then on no claim and no commit of it succeeds. The acknowledgement says
// more: that no item starts any more. So it waits until the holder that the ledger names has said that it stopped (by message, or by
// its mark in the ledger), or can't be acting: its lease is free, in other hands, or has stood unchanged for a whole lease time by
// this node's clock. A job that nobody has claimed is acknowledged at once, since a claim must come before any item.
#pragma once

#include "jobs/JobContext.h"

#include <map>

namespace jj {

class CancelDesk {
public:
    // Called instead of TellCancel when the holder is this node.
    using TellSelf = std::function<void(JobId)>;

    CancelDesk(JobContext& context, TellSelf tellSelf);

    void ask(const CancelAsked& event);
    void holderStopped(JobId job, Epoch epoch);
    void tick();

private:
    struct Cancel {
        CancelAsked asked_;
        Manifest manifest_;
        Ledger ledger_;
        bool waits_ = false; // cancelled in the store; the holder may still act
        TimePoint tellAt_ {};
        TimePoint checkAt_ {};
        bool checking_ = false;
        ObjectVersion leaseVersion_;
        TimePoint leaseSeenAt_ = neverTime;
    };

    Cancel* find(AskId ask);
    void readLedger(Cancel& cancel);
    void readManifest(Cancel& cancel, const SettledAnswer& ledger);
    void decide(Cancel& cancel, const SettledAnswer& ledger);
    void writeLedger(Cancel& cancel, Ledger ledger, ObjectVersion version);
    void wait(Cancel& cancel, const Ledger& ledger);
    void checkLease(Cancel& cancel);
    void checkLedger(Cancel& cancel);
    void acknowledge(AskId ask);
    void refuse(AskId ask, std::error_code error);
    TimePoint patience() const { return context_.now_ + context_.settings_.askPatience_; }

    JobContext& context_;
    TellSelf tellSelf_;
    std::map<AskId, Cancel> cancels_;
};

} // namespace jj
