// The object API's HTTP calls over a MemoryStore under the real clock, with fault switches. One thread.
#pragma once

#include "Journal.h"
#include "http/Server.h"
#include "objects/MemoryStore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jj {

struct ObjectFaults {
    bool outage_ = false; // every call is answered 503, watches are cut
    bool silent_ = false; // no call is answered at all, and none has an effect
    std::chrono::milliseconds delay_ { 0 }; // from a call's effect to its answer
    double loseAnswers_ = 0; // share of the writes whose effect is done and whose connection then breaks
    double loseCalls_ = 0; // share of all calls whose connection breaks without effect
};

class ObjectService {
public:
    ObjectService(boost::asio::io_context& io, MemoryStore& store, Journal& journal, std::uint64_t seed);

    void handle(const std::shared_ptr<http::Exchange>& exchange);

private:
    using ExchangePtr = std::shared_ptr<http::Exchange>;

    struct Watcher {
        ExchangePtr exchange_;
        std::string prefix_;
        ObjectVersion sent_; // changes up to this version were sent
        std::shared_ptr<bool> isGone_;
    };
    struct HostList {
        TimePoint visibleAt_ {};
        std::string json_;
    };

    void object(const ExchangePtr& exchange, std::string key);
    void list(const ExchangePtr& exchange);
    void watch(const ExchangePtr& exchange);
    void hosts(const ExchangePtr& exchange);
    void setHosts(const ExchangePtr& exchange);
    void faults(const ExchangePtr& exchange);
    void counts(const ExchangePtr& exchange);
    void answer(const ExchangePtr& exchange, http::Response response);
    bool happens(double share);
    void pump(Watcher& watcher);
    void pumpAll();
    void cutWatchers();
    void armBookmarks();

    boost::asio::io_context& io_;
    boost::asio::steady_timer bookmarks_;
    SystemClock clock_;
    MemoryStore& store_;
    Journal& journal_;
    ObjectFaults faults_;
    double readsPerSecond_ = 2000;
    double writesPerSecond_ = 400;
    std::mt19937_64 random_;
    std::vector<Watcher> watchers_;
    std::vector<ExchangePtr> unanswered_; // held, so that their callers wait
    std::vector<HostList> hostLists_;
    std::chrono::milliseconds hostsLag_ { 2000 };
};

} // namespace jj
