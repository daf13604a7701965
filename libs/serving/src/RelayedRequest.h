// One request on its way: from its arrival to exactly one end.
#pragma once

#include "Context.h"
#include "EventScanner.h"
#include "SlotQueue.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jj {

class RelayedRequest : public std::enable_shared_from_this<RelayedRequest> {
public:
    // A refused caller comes back after at least so long: a question's part of a slot. Sooner it would meet the same full engines.
    static constexpr Duration leastRetryAfter = 150ms;

    RelayedRequest(Context& context, std::shared_ptr<http::Exchange> exchange, std::shared_ptr<const RouteTable> table, const Route& route, std::shared_ptr<std::size_t> open)
        : context_(context)
        , exchange_(std::move(exchange))
        , table_(std::move(table))
        , route_(route)
        , timer_(context.io_)
        , slotTimer_(context.io_)
        , open_(std::move(open))
        , arrived_(context.now())
    {
        ++*open_;
    }

    ~RelayedRequest() { --*open_; }
    RelayedRequest(const RelayedRequest&) = delete;
    RelayedRequest& operator=(const RelayedRequest&) = delete;

    void begin();

private:
    enum class Phase : std::uint8_t {
        Picking,
        Waiting, // in line for a slot
        Sent, // at an engine, no head yet
        Reading, // its answer comes
        Ended,
    };

    void dispatch();
    void block();
    // No slot is free: lines up if one comes in time; false: it doesn't.
    bool enqueue(Duration bound);
    void giveUpWaiting();
    void send(const EnginePick& pick);
    void onHead(const http::ResponseHead& head);
    void onData(std::string_view data);
    void onEnd();
    void onError(const http::CallFailure& failure);
    void onEvent(const StreamEvent& event);

    void notExecuted();
    void askForSlot();
    void lost(std::error_code error);
    void passWhole();
    void finishStream();
    void refuse(std::string_view reason, Duration wait);
    void fail(int status, std::string_view code, std::string_view message, RunState run);
    void onTimeout();
    void onCallerLeft();
    void leaveEngine();
    void end();

    bool isStream() const { return route_.kind_ == RouteKind::Streaming; }
    bool mayHaveRun() const { return runs_ > 0; }
    Duration left() const { return deadline_ - context_.now(); }
    // What a caller's further attempt has in common with this one.
    Fingerprint content() const;
    bool crashesEngines() const;
    Duration pickBound() const;
    TimePoint keepUntil() const;
    DecisionLog::Line line(std::string_view event);

    Context& context_;
    std::shared_ptr<http::Exchange> exchange_;
    std::shared_ptr<const RouteTable> table_; // keeps route_ alive
    const Route& route_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer slotTimer_; // until the next holder of a batch item is asked
    std::size_t slotAsks_ = 0;
    std::shared_ptr<std::size_t> open_;
    const TimePoint arrived_;
    TimePoint deadline_ {};
    std::string service_;
    std::string id_;
    bool hasReturned_ = false; // refused before, to all appearance: another refusal would be final

    Phase phase_ = Phase::Picking;
    std::vector<UpstreamId> tried_;
    std::size_t offers_ = 0;
    std::uint32_t runs_ = 0; // engines that may have begun to work on it
    QueueTicket ticket_; // while Waiting
    UpstreamId engine_; // that it is at; none while Picking or Waiting
    TimePoint sentAt_ {};
    std::shared_ptr<http::Call> call_;

    http::ResponseHead head_; // of the answer that is being read
    bool rejected_ = false; // the answer says that the engine didn't run it
    bool started_ = false; // the caller has the head
    std::string body_; // of an answer that is passed on whole
    EventScanner scanner_;
    std::string ready_; // events of the bytes at hand, for one write
    std::optional<std::uint64_t> lastEvent_;
};

} // namespace jj
