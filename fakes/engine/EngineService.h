// The engine stand-in's HTTP calls over one EngineModel under the real clock. One thread.
//
// Tokens that one pass of the model gives to a stream leave in one write, so that a fast engine isn't bound by its writes.
#pragma once

#include "ChatRequest.h"
#include "enginemodel/EngineModel.h"
#include "enginemodel/EngineOrders.h"
#include "events/EventWriter.h"
#include "http/Client.h"
#include "http/Server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <memory>
#include <string>
#include <vector>

namespace jj {

struct EngineServiceSettings {
    EngineParameters parameters_;
    std::uint64_t seed_ = 1;
    bool checksFencing_ = true;
    std::string crashMarker_ = "CRASH-THE-ENGINE";
    std::string failMarker_ = "FAIL-THIS-ITEM"; // prompts with this text are answered 422
    Duration restartAfter_ = 500ms; // after a crash, when the process doesn't end with it
    bool crashEndsProcess_ = false;
};

class EngineService {
public:
    // The exit code of a process that a marked prompt crashed.
    static constexpr int crashExitCode = 70;

    EngineService(boost::asio::io_context& io, EngineServiceSettings settings, std::unique_ptr<EventWriter> events);

    void handle(const std::shared_ptr<http::Exchange>& exchange);

private:
    using ExchangePtr = std::shared_ptr<http::Exchange>;

    struct Live {
        ExchangePtr exchange_;
        std::string name_;
        std::uint64_t promptKey_ = 0;
        int promptTokens_ = 0;
        int firstPosition_ = 0;
        int lastPosition_ = 0;
        bool isStreamed_ = false;
        bool isDone_ = false;
        bool isTouched_ = false; // stands in touched_
        std::string text_; // streamed: not written yet; whole: the answer so far
    };

    struct Sink {
        void operator()(const StreamToken& token) { service_.onToken(token); }
        void operator()(const StreamFinished& finished) { service_.onFinished(finished); }
        void operator()(const EngineCrashed& crashed) { service_.onCrashed(crashed); }
        EngineService& service_;
    };

    void route(const ExchangePtr& exchange);
    void chat(const ExchangePtr& exchange);
    void cancelNamed(const ExchangePtr& exchange, const std::string& name);
    void exportKv(const ExchangePtr& exchange);
    void importKv(const ExchangePtr& exchange);
    void giveKv(const ExchangePtr& exchange, std::string_view handle);
    void load(const ExchangePtr& exchange);
    void cacheEvents(const ExchangePtr& exchange);
    void order(const ExchangePtr& exchange);
    void state(const ExchangePtr& exchange);
    void faults(const ExchangePtr& exchange);

    void advance();
    void arm();
    void onToken(const StreamToken& token);
    void onFinished(const StreamFinished& finished);
    void onCrashed(const EngineCrashed& crashed);
    void crash();
    void flushTouched();
    void touch(StreamId stream, Live& live);
    void drop(StreamId stream);
    void record(EventKind kind, const std::string& subject, std::string error = {});

    SystemClock clock_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer restartTimer_;
    EngineServiceSettings settings_;
    EngineModel model_;
    EngineOrders orders_;
    http::Client client_;
    std::unique_ptr<EventWriter> events_;
    // Invariants: live_ holds the streams open in the model that have a caller; names_ has a place for each named one.
    boost::unordered_flat_map<StreamId, Live, std::hash<StreamId>> live_;
    boost::unordered_flat_map<std::string, StreamId> names_;
    std::vector<StreamId> touched_; // streams with something to write
    std::uint64_t nextStream_ = 1;
    TimePoint armedFor_ = neverTime;
    bool leaving_ = false;
};

} // namespace jj
