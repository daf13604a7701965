// One handler for the whole life of a process. It wakes the loop through a pipe; what was asked for is kept in flags, so that a full pipe
// loses nothing.
#include "process/Signals.h"

#include "process/FinalLine.h"
#include "process/StraySignals.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <initializer_list>
#include <unistd.h>

namespace jj {

namespace {

    constexpr int noDescriptor = -1;

    // Set by the signal handler, which may run on any thread.
    std::atomic<bool> stopRequested = false;
    std::atomic<bool> reloadRequested = false;
    std::atomic<bool> isHandled = false; // a ProcessSignals exists

    // One pipe for the life of the process: a handler on another thread may be about to write to it at any time.
    struct WakePipe {
        std::atomic<int> reader_ = noDescriptor;
        std::atomic<int> writer_ = noDescriptor;
    };
    WakePipe wakePipe;

    static_assert(std::atomic<bool>::is_always_lock_free && std::atomic<int>::is_always_lock_free);

    void wakeLoop()
    {
        // If the pipe is full, the loop has yet to read what woke it before.
        [[maybe_unused]] const ssize_t written = ::write(wakePipe.writer_, "", 1);
    }

    void onSignal(int number)
    {
        const int interruptedError = errno;
        if (number == SIGHUP)
            reloadRequested = true;
        else
            stopRequested = true;
        if (isHandled) {
            wakeLoop();
        } else if (number != SIGHUP) {
            writeFinalLine("stopped", "during", "start or end");
            ::_exit(0);
        }
        errno = interruptedError;
    }

    std::error_code openWakePipe()
    {
        if (wakePipe.writer_ != noDescriptor)
            return {};
        std::array<int, 2> ends {};
        if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
            return { errno, std::system_category() };
        wakePipe.reader_ = ends[0];
        wakePipe.writer_ = ends[1];
        return {};
    }

} // namespace

void takeSignals() noexcept
{
    struct sigaction action = {};
    ::sigemptyset(&action.sa_mask);
    action.sa_flags = SA_RESTART;
    action.sa_handler = onSignal;
    sigset_t taken = {};
    ::sigemptyset(&taken);
    for (const int number : { SIGTERM, SIGINT, SIGHUP }) {
        ::sigaction(number, &action, nullptr);
        ::sigaddset(&taken, number);
    }
    // Whoever started the process may have blocked them, which is inherited.
    ::pthread_sigmask(SIG_UNBLOCK, &taken, nullptr);
    ignoreStraySignals();
}

void discardReloadRequest() noexcept { reloadRequested = false; }

bool isStopRequested() noexcept { return stopRequested; }

struct ProcessSignals::State : std::enable_shared_from_this<ProcessSignals::State> {
    State(boost::asio::io_context& io, Handler handler)
        : reader_(io)
        , handler_(std::move(handler))
    {
    }

    void wait()
    {
        reader_.async_read_some(boost::asio::buffer(bytes_), [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
            if (error)
                return;
            // Before the handler, which may throw.
            self->wait();
            const bool reloads = reloadRequested.exchange(false);
            if (stopRequested.exchange(false))
                self->handler_(ProcessSignal::Stop);
            if (reloads)
                self->handler_(ProcessSignal::Reload);
        });
    }

    boost::asio::posix::stream_descriptor reader_;
    Handler handler_;
    std::array<char, 64> bytes_ {};
};

ProcessSignals::ProcessSignals(std::shared_ptr<State> state)
    : state_(std::move(state))
{
}

Result<std::unique_ptr<ProcessSignals>> ProcessSignals::create(boost::asio::io_context& io, Handler handler)
{
    if (const std::error_code error = openWakePipe())
        return error;
    // The io_context closes what it is given.
    const int reader = ::fcntl(wakePipe.reader_, F_DUPFD_CLOEXEC, 0);
    if (reader < 0)
        return std::error_code(errno, std::system_category());
    auto state = std::make_shared<State>(io, std::move(handler));
    boost::system::error_code error;
    state->reader_.assign(reader, error);
    if (error) {
        ::close(reader);
        return error;
    }
    state->wait();
    isHandled = true;
    // Signals that came before may have woken nobody.
    wakeLoop();
    return std::unique_ptr<ProcessSignals>(new ProcessSignals(std::move(state)));
}

ProcessSignals::~ProcessSignals()
{
    isHandled = false;
    boost::system::error_code ignored;
    state_->reader_.close(ignored);
}

} // namespace jj
