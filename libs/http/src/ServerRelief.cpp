// Cuts off stalled readers while the byte budget is exhausted.
#include "ServerConnection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <utility>
#include <vector>

namespace jj::http::detail {

namespace {

    using SteadyClock = std::chrono::steady_clock;

    constexpr auto reliefPeriod = std::chrono::milliseconds(100); // between two looks while the budget is exhausted

    // Returns how many bytes are to be freed.
    std::size_t missingBytes(const ByteBudget& budget, std::size_t wanted)
    {
        const std::size_t needed = budget.held(ByteUse::Answers) + budget.held(ByteUse::Uploads) + std::max(wanted, spareBytes(budget));
        return needed - std::min(needed, budget.limit());
    }

    std::size_t wantedBytes(const ServerShared& shared)
    {
        const std::lock_guard lock(shared.mutex_);
        return SteadyClock::now() < shared.wantedUntil_ ? shared.wantedBytes_ : 0;
    }

    struct Stalled {
        SteadyClock::time_point since_;
        std::shared_ptr<ServerConnection> connection_;
    };

    // Returns the connections that have written nothing for the stall time, longest first.
    std::vector<Stalled> stalledReaders(ServerShared& shared)
    {
        const auto latest = SteadyClock::now() - shared.settings_.limits_.stallTime_;
        std::vector<std::shared_ptr<ServerConnection>> open; // released without the lock, which their destructors take
        std::vector<Stalled> stalled;
        {
            const std::lock_guard lock(shared.mutex_);
            for (const auto& [key, weak] : shared.connections_) {
                if (auto connection = weak.lock())
                    open.push_back(std::move(connection));
            }
        }
        for (auto& connection : open) {
            const auto since = connection->stalledSince();
            if (since && *since <= latest)
                stalled.push_back({ *since, std::move(connection) });
        }
        std::sort(stalled.begin(), stalled.end(), [](const Stalled& a, const Stalled& b) { return a.since_ < b.since_; });
        return stalled;
    }

    // Failure met: the budget was looked at only when an answer grew. Once all engines were paused, no answer grew, and readers that
    // stalled later were never cut off. So the look is repeated until there is room.
    void relieveBudget(const std::shared_ptr<ServerShared>& shared)
    {
        const ByteBudget& budget = *shared->settings_.budget_;
        std::size_t missing = missingBytes(budget, wantedBytes(*shared));
        if (shared->stopped_ || missing == 0) {
            shared->isRelieving_ = false;
            if (!shared->stopped_ && missingBytes(budget, wantedBytes(*shared)) > 0)
                relieveBudgetSoon(shared); // filled up meanwhile, when the flag was still set
            return;
        }
        for (const Stalled& reader : stalledReaders(*shared)) {
            if (missing == 0)
                break;
            missing -= std::min(missing, reader.connection_->heldBytes());
            reader.connection_->cutOffIfStalledSoon();
        }
        shared->relief_.expires_after(reliefPeriod);
        shared->relief_.async_wait([shared](error_code) { relieveBudget(shared); });
    }

} // namespace

void relieveBudgetSoon(const std::shared_ptr<ServerShared>& shared)
{
    if (!shared->isRelieving_.exchange(true))
        asio::post(shared->io_, [shared] { relieveBudget(shared); });
}

void cutOffStalledReaders(ServerShared& shared, std::size_t count)
{
    {
        const std::lock_guard lock(shared.mutex_);
        const auto now = SteadyClock::now();
        if (now < shared.cutOffAllowedAt_)
            return;
        shared.cutOffAllowedAt_ = now + reliefPeriod;
    }
    std::vector<Stalled> stalled = stalledReaders(shared);
    stalled.resize(std::min(stalled.size(), count));
    for (const Stalled& reader : stalled)
        reader.connection_->cutOffIfStalledSoon();
}

void relieveBudgetFor(const std::shared_ptr<ServerShared>& shared, std::size_t uploadBytes)
{
    {
        const std::lock_guard lock(shared->mutex_);
        shared->wantedBytes_ = uploadBytes;
        // A reader whose last progress is seen only now is stalled one stall time later.
        shared->wantedUntil_ = SteadyClock::now() + shared->settings_.limits_.stallTime_ + 3 * reliefPeriod;
    }
    relieveBudgetSoon(shared);
}

std::optional<SteadyClock::time_point> ServerConnection::stalledSince() const
{
    const std::lock_guard lock(mutex_);
    if (outbox_.closed_ || queuedLocked() == 0)
        return std::nullopt;
    return outbox_.progressAt_;
}

std::size_t ServerConnection::heldBytes() const
{
    const std::lock_guard lock(mutex_);
    return outbox_.hold_.bytes();
}

std::size_t ServerConnection::kernelQueueBytes()
{
    int bytes = 0;
    return ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void ServerConnection::cutOffIfStalledSoon()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->cutOffIfStalled(); });
}

// A socket becomes writable only when a third of its send buffer is free, and after a pause of the process its events wait. So a reader
// that has taken bytes from the kernel's queue isn't stalled, although nothing could be written for a while.
void ServerConnection::cutOffIfStalled()
{
    if (phase_ == Phase::Closed)
        return;
    const std::size_t kernelQueue = kernelQueueBytes();
    const bool hasTaken = kernelQueue < std::exchange(kernelQueue_, kernelQueue);
    {
        const std::lock_guard lock(mutex_);
        const auto now = SteadyClock::now();
        if (hasTaken)
            outbox_.progressAt_ = now;
        if (queuedLocked() == 0 || now - outbox_.progressAt_ < shared_->settings_.limits_.stallTime_)
            return;
    }
    ++shared_->readersCutOff_;
    isCutOff_ = true;
    close();
}

void ServerConnection::shrinkBuffers()
{
    clearBuffer(inFlight_);
    const std::lock_guard lock(mutex_);
    if (outbox_.pending_.empty())
        clearBuffer(outbox_.pending_);
}

} // namespace jj::http::detail
