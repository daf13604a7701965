// The thread shares its state with the writer, so that a write that blocks may outlast it.
#include "process/DescriptorWriter.h"

#include "process/NonBlockingWrite.h"

#include <condition_variable>
#include <mutex>
#include <sys/stat.h>
#include <thread>
#include <utility>

namespace jj {

namespace {

    bool isRegularFile(int descriptor)
    {
        struct stat status = {};
        return ::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
    }

} // namespace

struct DescriptorWriter::FileThread {
    std::mutex lock_;
    std::condition_variable changed_;
    // All below are guarded by lock_, but for text_ while isWriting_.
    std::string next_; // follows text_; at most the capacity
    std::string text_; // being written, or left by a write that failed
    bool isWriting_ = false;
    bool isEnding_ = false;
    std::error_code error_; // of the last write, until it is returned

    bool hasText() const { return !text_.empty() || !next_.empty(); }

    // Starts to write what there is, unless a write is under way.
    void begin()
    {
        if (isWriting_ || !hasText())
            return;
        isWriting_ = true;
        changed_.notify_all();
    }

    void writeAll(std::unique_lock<std::mutex>& lock, int descriptor)
    {
        while (hasText() && !error_) {
            if (text_.empty())
                std::swap(text_, next_);
            lock.unlock();
            const std::error_code error = writeAvailable(descriptor, text_);
            lock.lock();
            error_ = error;
        }
    }

    static void run(const std::shared_ptr<FileThread>& shared, int descriptor)
    {
        std::unique_lock lock(shared->lock_);
        for (;;) {
            shared->changed_.wait(lock, [&] { return shared->isWriting_ || shared->isEnding_; });
            if (!shared->isWriting_)
                return;
            shared->writeAll(lock, descriptor);
            shared->isWriting_ = false;
            shared->changed_.notify_all();
        }
    }
};

DescriptorWriter::DescriptorWriter(int descriptor, std::size_t capacity)
    : descriptor_(descriptor)
    , capacity_(capacity)
    , isFile_(isRegularFile(descriptor))
{
    if (!isFile_)
        setNonBlocking(descriptor);
}

DescriptorWriter::~DescriptorWriter()
{
    if (!thread_)
        return;
    const std::lock_guard lock(thread_->lock_);
    thread_->isEnding_ = true;
    thread_->changed_.notify_all();
}

std::error_code DescriptorWriter::write(std::string& buffer)
{
    return isFile_ ? writeByThread(buffer) : writeAvailable(descriptor_, buffer);
}

std::error_code DescriptorWriter::writeByThread(std::string& buffer)
{
    if (!thread_) {
        if (buffer.empty())
            return {};
        auto shared = std::make_shared<FileThread>();
        shared->text_.reserve(capacity_);
        shared->next_.reserve(capacity_);
        try {
            std::thread(FileThread::run, shared, descriptor_).detach();
        } catch (const std::system_error& error) {
            return error.code();
        }
        thread_ = std::move(shared);
    }
    const std::lock_guard lock(thread_->lock_);
    if (thread_->next_.size() + buffer.size() <= capacity_) {
        thread_->next_ += buffer;
        buffer.clear();
    }
    const std::error_code error = std::exchange(thread_->error_, {});
    thread_->begin();
    return error;
}

void DescriptorWriter::finish(std::string& buffer, Duration limit)
{
    const TimePoint end = SystemClock().now() + limit;
    // What the thread has taken, and then what it had no room for.
    constexpr int rounds = 2;
    for (int round = 0; round < rounds; ++round) {
        if (write(buffer) || !thread_)
            return;
        std::unique_lock lock(thread_->lock_);
        if (!thread_->changed_.wait_until(lock, end, [this] { return !thread_->isWriting_; }))
            return;
    }
}

} // namespace jj
