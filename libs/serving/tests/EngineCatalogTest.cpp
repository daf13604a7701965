// Tests what nodes know about the engines after one of them was cut off from the store or received an outdated answer.
#include "CatalogNode.h"

#include <cstdio>
#include <doctest/doctest.h>

using namespace jj;
using namespace jj::testing;

// Guards against requests to a removed engine from a host that requested its update from a watcher which still retains the engine
// after an outage.
TEST_CASE("a removal after an outage reaches a peer while the sender still retains the engine")
{
    const TimePoint start {};
    Node watcher;
    Node peer;
    watcher.list({ { "a", at(10), 5, "ready" }, { "b", at(11), 5, "ready" } }, at(11), start, grace);
    peer.requestUpdate(watcher, start);
    REQUIRE(peer.inUse_ == Names { "a", "b" });

    watcher.remove("a", at(20), start, grace);
    watcher.put("c", "ready", at(21));
    peer.requestUpdate(watcher, start + 100ms);
    CHECK(peer.inUse_ == Names { "a", "b", "c" });
    CHECK(peer.catalog_.version() == 21);

    for (Node* node : { &watcher, &peer }) {
        node->catalog_.tick(start + grace - 1ms);
        CHECK(node->inUse_ == Names { "a", "b", "c" });
        node->catalog_.tick(start + grace);
        CHECK(node->inUse_ == Names { "b", "c" });
    }
}

// Guards against requests to a removed engine from hosts that receive the removal indirectly, and against losing an engine that
// registers again.
TEST_CASE("a removal with a grace period is passed on, and cancelled when the engine registers again")
{
    const TimePoint start {};
    Node watcher;
    watcher.list({ { "a", at(10), 5, "ready" } }, at(10), start, grace);
    Node second;
    Node third;
    second.requestUpdate(watcher, start);
    third.requestUpdate(watcher, start);
    watcher.remove("a", at(20), start, grace);

    second.requestUpdate(watcher, start + 50ms);
    third.requestUpdate(second, start + 100ms);
    Node fourth;
    fourth.requestUpdate(third, start + 150ms);
    CHECK(fourth.inUse_ == Names { "a" });
    Node fifth;
    fifth.requestUpdate(watcher, start + 150ms);
    watcher.put("a", "ready", at(30));
    fifth.requestUpdate(watcher, start + 200ms);

    for (Node* node : { &watcher, &second, &third, &fourth, &fifth })
        node->catalog_.tick(start + grace);
    CHECK(second.inUse_.empty());
    CHECK(third.inUse_.empty());
    CHECK(fourth.inUse_.empty());
    CHECK(watcher.inUse_ == Names { "a" });
    CHECK(fifth.inUse_ == Names { "a" });
}

// Guards against requests to a draining engine from a host that applies a list of the store older than a peer's update.
TEST_CASE("an outdated answer of the store undoes no newer change")
{
    const TimePoint start {};
    Node peer;
    peer.list({ { "a", at(20), 8, "draining" }, { "b", at(21), 5, "ready" } }, at(21), start, {});
    Node node;
    node.list({ { "a", at(10), 5, "ready" } }, at(10), start, {});
    node.requestUpdate(peer, start);
    REQUIRE(node.inUse_ == Names { "b" });

    node.list({ { "a", at(10), 5, "ready" } }, at(15), start, {});
    CHECK(node.inUse_ == Names { "b" });
}

TEST_CASE("an update contains the changes and removals since the requested version")
{
    const TimePoint start {};
    Node watcher;
    watcher.list({ { "a", at(10), 5, "ready" }, { "b", at(11), 5, "ready" } }, at(11), start, {});
    Node peer;
    peer.requestUpdate(watcher, start);

    watcher.put("a", "draining", at(20));
    watcher.remove("b", at(21), start, {});
    const EngineUpdate update = watcher.catalog_.updateSince(peer.catalog_.version(), start);
    CHECK_FALSE(update.isFullState_);
    CHECK(update.entries_.size() == 1);
    CHECK(update.removed_ == std::vector<std::string> { "b" });
    peer.catalog_.applyUpdate(update, "watcher", start);
    CHECK(peer.inUse_.empty());

    // Applying the same update again must not undo a newer change.
    watcher.put("b", "ready", at(30));
    peer.requestUpdate(watcher, start);
    peer.catalog_.applyUpdate(update, "watcher", start);
    CHECK(peer.inUse_ == Names { "b" });
}

// Guards against requests to an engine whose entry was overwritten with unreadable bytes.
TEST_CASE("an entry that becomes unreadable removes the engine at all nodes")
{
    const TimePoint start {};
    Node watcher;
    watcher.list({ { "a", at(10), 5, "ready" } }, at(10), start, {});
    Node peer;
    peer.requestUpdate(watcher, start);
    watcher.put("a", "\x01", at(20));
    CHECK(watcher.inUse_.empty());
    peer.requestUpdate(watcher, start);
    CHECK(peer.inUse_.empty());
}

// Guards against requests to a removed engine from a host that requested its update from a host which never knew the engine.
TEST_CASE("serving: a node passes on the removal of an engine that it never knew")
{
    const TimePoint start {};
    Node watcher;
    watcher.list({ { "a", at(10), 5, "ready" } }, at(10), start, {});
    Node slow;
    Node quick;
    slow.requestUpdate(watcher, start);
    quick.requestUpdate(watcher, start);
    watcher.put("b", "ready", at(20));
    quick.requestUpdate(watcher, start);
    REQUIRE(quick.inUse_ == Names { "a", "b" });
    watcher.remove("b", at(21), start, {});
    slow.requestUpdate(watcher, start);
    quick.requestUpdate(slow, start);
    CHECK(quick.inUse_ == Names { "a" });
}

// Guards against a fleet in which every host logs every engine, so that the lines of all other decisions are dropped.
TEST_CASE("a long update of a peer is logged in one line, and the engines of a short one are logged one by one")
{
    const auto linesAfterUpdate = [](int engines) {
        Node watcher;
        watcher.list({}, at(1));
        for (int engine = 0; engine < engines; ++engine)
            watcher.put("e" + std::to_string(engine), "ready", at(10 + engine));
        std::FILE* file = std::tmpfile();
        DecisionLog log("node", 1000, ::fileno(file));
        const Translation translation = plainEntries();
        EngineCatalog catalog(
            translation, log, {}, [](const EngineEntry&) {}, [](const EngineEntry&) {});
        catalog.applyUpdate(watcher.catalog_.updateSince(0, {}), "watcher", {});
        log.finish();
        std::rewind(file);
        int lines = 0;
        for (int character = std::fgetc(file); character != EOF; character = std::fgetc(file))
            lines += character == '\n' ? 1 : 0;
        std::fclose(file);
        return lines;
    };
    CHECK(linesAfterUpdate(100) == 1);
    CHECK(linesAfterUpdate(200) == 1);
    CHECK(linesAfterUpdate(4) == 5);
}
