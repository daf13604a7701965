// Runs calls that may block, such as those on a disk, on a thread of their own, so that they don't hold up the loop.
//
//     BlockingCalls calls(io);
//     calls.run([] { return readFile(); }, [](const Result<std::string>& text) { ... });   // the second on the loop
//
// Calls run one after the other, in their order. Calls return a Result; one that throws, and one for which the system has no thread, ends
// with an error.
#pragma once

#include "base/Time.h"

#include <functional>
#include <memory>
#include <optional>
#include <system_error>
#include <type_traits>
#include <utility>

namespace boost::asio {
class io_context;
}

namespace jj {

class BlockingCalls {
public:
    // The io_context must outlive this object.
    explicit BlockingCalls(boost::asio::io_context& io);
    // Doesn't wait: a call under way ends by itself, those behind it are dropped, and no completion is called any more.
    ~BlockingCalls();
    BlockingCalls(const BlockingCalls&) = delete;
    BlockingCalls& operator=(const BlockingCalls&) = delete;

    template <class Call, class Done>
    void run(Call call, Done done)
    {
        using Outcome = std::invoke_result_t<Call&>;
        auto outcome = std::make_shared<std::optional<Outcome>>();
        const auto runCall = [call = std::move(call), outcome]() mutable {
            try {
                outcome->emplace(call());
            } catch (const std::exception&) {
                outcome->emplace(std::make_error_code(std::errc::not_enough_memory));
            }
        };
        const auto complete = [done = std::move(done), outcome]() mutable {
            if (!*outcome)
                outcome->emplace(std::make_error_code(std::errc::resource_unavailable_try_again));
            done(**outcome);
        };
        add({ runCall, complete });
    }

    // Returns for how long the call under way has been running; zero if there is none.
    Duration currentCallTime(TimePoint now) const;

private:
    struct Task {
        std::function<void()> run_; // on the thread
        std::function<void()> complete_; // on the loop
    };
    struct Shared;

    void add(Task task);

    std::shared_ptr<Shared> shared_;
    std::shared_ptr<const bool> isAlive_; // its end is the end of this object
    bool hasThread_ = false;
};

} // namespace jj
