// What a watcher asks the store for, and when.
#include "EngineFeed.h"
#include "CatalogNode.h"

#include <doctest/doctest.h>

using namespace jj;
using namespace jj::testing;

namespace {

// Collects calls; a test answers them one by one.
class ScriptedStore {
public:
    struct Call {
        ObjectCall call_;
        std::function<void(const ObjectAnswer&)> done_;
    };

    void once(const ObjectCall& call, std::function<void(const ObjectAnswer&)> done) { calls_.push_back({ call, std::move(done) }); }
    TimePoint backSince() const { return {}; }

    std::vector<Call> calls_;
};

ObjectAnswer listed(std::vector<ObjectEntry> entries, std::uint64_t version)
{
    ObjectAnswer answer;
    answer.entries_ = std::move(entries);
    answer.version_ = at(version);
    return answer;
}

ObjectAnswer changed(std::vector<ObjectChange> changes, std::uint64_t version)
{
    ObjectAnswer answer;
    answer.changes_ = std::move(changes);
    answer.version_ = at(version);
    return answer;
}

// A watcher that has listed one engine at version 10 and follows it.
struct Watcher {
    Watcher()
    {
        clock_.advance(10s);
        feed_.setPassive(false);
        feed_.tick(clock_.now());
        answer(listed({ { "a", at(10), 5, "ready" } }, 10));
        feed_.tick(clock_.now());
    }

    const ObjectCall& lastCall() const { return store_.calls_.back().call_; }
    void answer(const ObjectAnswer& answer)
    {
        const auto done = store_.calls_.back().done_;
        done(answer);
    }
    void pass(Duration time)
    {
        clock_.advance(time);
        feed_.tick(clock_.now());
    }

    ManualClock clock_;
    FollowerTimes times_;
    ScriptedStore store_;
    Translation translation_;
    Node node_;
    DecisionLog log_ { "node", 1000, ::open("/dev/null", O_WRONLY | O_CLOEXEC) };
    EngineFeed<ScriptedStore, ManualClock> feed_ { clock_, store_, translation_, log_, times_, {}, true, node_.catalog_, [] {} };
};

} // namespace

// Guards against a list that skips removals, and names every engine again, each time a watcher is a moment behind its peers.
TEST_CASE("a watcher behind its peers asks for what has changed, in the pause between two calls")
{
    Watcher watcher;
    watcher.answer(changed({ { ChangeKind::Put, at(20), "b", "ready" } }, 20));
    watcher.feed_.peerHas(21, watcher.clock_.now());
    const std::size_t before = watcher.store_.calls_.size();
    watcher.pass(watcher.times_.behindBound_);
    REQUIRE(watcher.store_.calls_.size() == before + 1);
    CHECK(watcher.lastCall().verb_ == ObjectVerb::Changes);
    watcher.answer(changed({ { ChangeKind::Remove, at(21), "a", {} } }, 21));
    CHECK(watcher.node_.catalog_.version() == 21);
    CHECK(watcher.node_.using_ == Names { "b" });
}

// Guards against engines that every process reads at the store's full price when all start at once.
TEST_CASE("a process first lists engines from data that may be seconds old, and later from the store itself")
{
    Watcher node;
    CHECK(node.store_.calls_.front().call_.stale_);
    node.answer(ObjectAnswer::failed(ObjectError::Expired));
    node.pass(1ms);
    CHECK(node.lastCall().verb_ == ObjectVerb::List);
    CHECK_FALSE(node.lastCall().stale_);
}

// Guards against a fleet whose link between regions is full of one list, read by each process that starts.
TEST_CASE("a process leaves the rest of a long first list to its peers, and reads it when none of them brings it")
{
    ManualClock clock;
    clock.advance(10s);
    const FollowerTimes times;
    ScriptedStore store;
    const Translation translation;
    Node node;
    DecisionLog log { "node", 1000, ::open("/dev/null", O_WRONLY | O_CLOEXEC) };
    EngineFeed<ScriptedStore, ManualClock> feed { clock, store, translation, log, times, {}, false, node.catalog_, [] {} };
    feed.tick(clock.now());
    ObjectAnswer page = listed({ { "a", at(10), 5, "ready" } }, 10);
    page.next_ = "a";
    store.calls_.back().done_(page);
    CHECK(store.calls_.size() == 1);
    SUBCASE("a peer brings it")
    {
        Node peer;
        peer.list({ { "a", at(10), 5, "ready" }, { "b", at(9), 5, "ready" } }, at(10));
        node.ask(peer, clock.now());
        clock.advance(times.leftToPeers_);
        feed.tick(clock.now());
        CHECK(store.calls_.size() == 1);
        CHECK(node.using_ == Names { "a", "b" });
    }
    SUBCASE("nobody brings it")
    {
        clock.advance(times.leftToPeers_);
        feed.tick(clock.now());
        REQUIRE(store.calls_.size() == 2);
        store.calls_.back().done_(page);
        REQUIRE(store.calls_.size() == 3);
        store.calls_.back().done_(listed({ { "b", at(9), 5, "ready" } }, 10));
        CHECK(node.using_ == Names { "a", "b" });
    }
}

// Guards against a watcher that waits for a connection that has fallen silent.
TEST_CASE("a watcher whose held-open call hears nothing asks again as soon as it is behind")
{
    Watcher watcher;
    const auto silent = watcher.store_.calls_.back().done_;
    watcher.pass(100ms);
    watcher.feed_.peerHas(21, watcher.clock_.now());
    watcher.pass(watcher.times_.behindBound_);
    CHECK(watcher.lastCall().verb_ == ObjectVerb::Changes);
    watcher.answer(changed({ { ChangeKind::Remove, at(21), "a", {} } }, 21));
    CHECK(watcher.node_.using_.empty());
    silent(changed({ { ChangeKind::Put, at(12), "a", "ready" } }, 12));
    CHECK(watcher.node_.using_.empty());
}

// Guards against calls of the store for what a watcher knows already.
TEST_CASE("a watcher isn't behind a peer whose version its own last answer has reached")
{
    Watcher watcher;
    watcher.answer(changed({}, 30));
    const std::size_t before = watcher.store_.calls_.size();
    watcher.feed_.peerHas(25, watcher.clock_.now());
    watcher.pass(watcher.times_.behindBound_);
    CHECK(watcher.store_.calls_.size() == before);
    CHECK(watcher.node_.catalog_.version() == 25);
}

// Guards against a watcher that goes on from a version whose history the store has forgotten.
TEST_CASE("a watcher lists all engines again after a call has failed")
{
    Watcher watcher;
    watcher.answer(ObjectAnswer::failed(ObjectError::Expired));
    watcher.pass(1ms);
    CHECK(watcher.lastCall().verb_ == ObjectVerb::List);
    watcher.answer(listed({ { "b", at(40), 5, "ready" } }, 41));
    CHECK(watcher.node_.using_ == Names { "b" });
}
