// Repeats messages without an answer, a few times.
#include "AcceptanceSender.h"

namespace jj {

namespace {

    constexpr int maxSendAttempts = 3;

} // namespace

JobTransfer transferOf(const JobName& job, const Acceptance& acceptance, int tries)
{
    JobTransfer transfer;
    transfer.job_ = job;
    transfer.head_ = acceptance.head_;
    transfer.headVersion_ = acceptance.headVersion_;
    transfer.items_ = acceptance.items_;
    transfer.mayHaveResults_ = tries > 0 || !acceptance.isNew_;
    return transfer;
}

void AcceptanceSender::send(const JobName& job, const Acceptance& acceptance, int tries)
{
    JobTransfer transfer = transferOf(job, acceptance, tries);
    const NodeId owner = acceptance.head_.owner_;
    if (owner == outlets_.self_)
        return outlets_.adopt_(std::move(transfer));
    outlets_.send_(owner, std::move(transfer), [this, job, acceptance, tries](std::error_code error) {
        if (!error)
            return;
        outlets_.noteUnanswered_(job, tries + 1, error);
        if (tries + 1 < maxSendAttempts)
            send(job, acceptance, tries + 1);
    });
}

} // namespace jj
