// The bytes of the requests that a node has in hand, in both of its roles, and the commands that move them.
//
// As entry the plane keeps each caller's request and writes its answer. As home it keeps what entries handed over and reads engines
// and plain services. Decisions are made elsewhere (DecisionHost): the plane only carries out their commands and reports events. Tokens
// go from socket to socket without passing an actor; decisions get their progress in batches.
//
// Every piece of an answer belongs to a hand-over and an attempt. A piece of a superseded one is dropped and counted, so a late answer
// never reaches a caller beside the one that took its place.
//
// All calls are safe from any thread. Sinks are called one at a time for each request.
#pragma once

#include "FleetView.h"
#include "PeerLinks.h"
#include "decisions/Commands.h"
#include "events/EventWriter.h"
#include "gateway/EngineStream.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jj::http {
class Client;
}

namespace jj {

// Where the answer to one request goes. Exactly one of end_ and refuse_ is called, last.
struct AnswerSink {
    std::function<void(std::uint32_t position, std::uint32_t count, std::string_view text)> tokens_;
    // Plain calls only, before their bytes.
    std::function<void(int status, std::string_view contentType)> head_;
    std::function<void()> end_;
    std::function<void(const Refuse&)> refuse_;
};

// A request as its entry takes it.
struct EntryRequest {
    RequestSpec spec_;
    RequestKind kind_ = RequestKind::Completion;
    std::string method_; // of a plain call
    std::string path_; // of a plain call
    std::string contentType_;
    std::string idempotencyKey_;
    std::string body_; // completions: ChatCall::openBody_
    TimePoint startBefore_ = neverTime; // no attempt begins at or after it, on any node
    AnswerSink sink_;
};

struct RequestPlaneCounts {
    std::size_t entries_ = 0;
    std::size_t runs_ = 0;
    std::uint64_t lateAnswers_ = 0; // pieces of superseded attempts, dropped
};

class RequestPlane {
public:
    using Feed = std::function<void(Event)>;

    // `feed` takes events to the decision core; it may be called from any thread.
    RequestPlane(http::Client& client, const FleetViewBoard& view, EventWriter* events, Feed feed);

    // The links come up after the plane, since they deliver to it. Call once, before the first request.
    void connect(PeerLinks& links, Incarnation incarnation);

    // ---- entry role
    void open(EntryRequest request);
    void callerGone(RequestId request);

    // ---- commands of the decision core, on its actor
    void perform(const SendToHome& command);
    void perform(const CancelAtHome& command);
    void perform(const Answer& command);
    void perform(const Refuse& command);
    void perform(const Dispatch& command);
    void perform(const CancelAttempt& command);
    void perform(const HandBack& command);
    void perform(const ProbeUpstream& command);
    // Progress since the last call, as one event; nothing when there was none.
    std::optional<AttemptsProgressed> takeProgress();

    // ---- links
    void onMessage(NodeId from, LinkMessage&& message);
    void onLinkLost(NodeId peer, const std::vector<AttemptKey>& unsent);

    RequestPlaneCounts counts() const;

private:
    struct Entry;
    struct Run;
    using RunKey = HandOverId;
    struct RunKeyHash {
        std::size_t operator()(const RunKey& key) const noexcept { return std::hash<std::uint64_t>()(key.request_.value() * 31 + key.number_); }
    };

    std::shared_ptr<Entry> entry(RequestId request) const;
    std::shared_ptr<Entry> takeEntry(RequestId request);
    std::shared_ptr<Run> run(const RunKey& key) const;
    std::shared_ptr<Run> takeRun(const RunKey& key);
    bool dropRun(const RunKey& key);

    void accept(const RequestStart& start, NodeId entry);
    void sendToPeer(const SendToHome& command, const Entry& entry);
    bool refuseLateStart(const Run& run, const Dispatch& command);
    void startEngine(const std::shared_ptr<Run>& run, const Dispatch& command, const UpstreamPlace& place);
    void startPlain(const std::shared_ptr<Run>& run, const Dispatch& command, const UpstreamPlace& place);
    void tokens(Run& run, const AttemptId& attempt, std::uint32_t position, std::uint32_t count, std::string_view text);
    void plainAnswer(Run& run, const AttemptId& attempt, int status, std::string_view contentType, std::string_view body);
    void entryTokens(const RunKey& key, std::uint32_t position, std::uint32_t count, std::string_view text);
    void entryHead(const RunKey& key, int status, std::string_view contentType);
    void dropLate(RequestId request);
    AttemptKey keyOf(const RunKey& key) const { return { key.request_, key.number_, incarnation_ }; }
    void record(EventKind kind, RequestId request, UpstreamId engine = {}, EventDetail detail = {});

    http::Client& client_;
    const FleetViewBoard& view_;
    EventWriter* events_; // none: no time line
    Feed feed_;
    PeerLinks* links_ = nullptr;
    NodeId self_;
    Incarnation incarnation_;

    mutable std::mutex lock_; // guards the maps and the numbers below, never held while a sink runs
    boost::unordered_flat_map<RequestId, std::shared_ptr<Entry>, std::hash<RequestId>> entries_;
    boost::unordered_flat_map<RunKey, std::shared_ptr<Run>, RunKeyHash> runs_;
    boost::unordered_flat_map<RequestId, AttemptProgress, std::hash<RequestId>> progress_;
    std::uint64_t lateAnswers_ = 0;
};

} // namespace jj
