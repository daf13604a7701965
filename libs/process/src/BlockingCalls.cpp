// The thread shares its state with the caller, so that a call that blocks may outlast it.
#include "process/BlockingCalls.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace jj {

struct BlockingCalls::Shared {
    std::mutex lock_;
    std::condition_variable changed_;
    // All below are guarded by lock_.
    boost::asio::io_context* io_; // null from the end of the BlockingCalls on
    std::weak_ptr<const bool> isAlive_;
    std::deque<Task> tasks_;
    std::optional<TimePoint> startedAt_; // of the call under way

    // The completion runs unless the BlockingCalls has ended by then.
    void post(std::function<void()> complete) const
    {
        boost::asio::post(*io_, [isAlive = isAlive_, complete = std::move(complete)] {
            if (!isAlive.expired())
                complete();
        });
    }

    static void run(const std::shared_ptr<Shared>& shared)
    {
        std::unique_lock lock(shared->lock_);
        for (;;) {
            shared->changed_.wait(lock, [&] { return !shared->io_ || !shared->tasks_.empty(); });
            if (!shared->io_)
                return;
            Task task = std::move(shared->tasks_.front());
            shared->tasks_.pop_front();
            shared->startedAt_ = SystemClock().now();
            lock.unlock();
            task.run_();
            lock.lock();
            shared->startedAt_.reset();
            if (shared->io_)
                shared->post(std::move(task.complete_));
        }
    }
};

BlockingCalls::BlockingCalls(boost::asio::io_context& io)
    : shared_(std::make_shared<Shared>())
    , isAlive_(std::make_shared<const bool>(true))
{
    shared_->io_ = &io;
    shared_->isAlive_ = isAlive_;
}

BlockingCalls::~BlockingCalls()
{
    const std::lock_guard lock(shared_->lock_);
    shared_->io_ = nullptr;
    shared_->changed_.notify_all();
}

void BlockingCalls::add(Task task)
{
    const std::lock_guard lock(shared_->lock_);
    if (!hasThread_) {
        try {
            std::thread(Shared::run, shared_).detach();
        } catch (const std::system_error&) {
            return shared_->post(std::move(task.complete_));
        }
        hasThread_ = true;
    }
    shared_->tasks_.push_back(std::move(task));
    shared_->changed_.notify_all();
}

Duration BlockingCalls::currentCallTime(TimePoint now) const
{
    const std::lock_guard lock(shared_->lock_);
    return shared_->startedAt_ ? now - *shared_->startedAt_ : Duration::zero();
}

} // namespace jj
