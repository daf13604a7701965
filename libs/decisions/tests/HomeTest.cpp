// The home: online first, batch gives way, fairness, deadlines.
#include "Bench.h"

using namespace jj;
using namespace jj::test;

TEST_CASE("A question goes straight to an engine and is answered once")
{
    Bench bench(2);
    bench.arrive(1);
    REQUIRE(bench.dispatches(1) == 1);
    bench.progress(1, 1);
    bench.finish(1);
    CHECK(bench.all<Answer>().size() == 1);
    CHECK(bench.all<Refuse>().empty());
    CHECK(bench.core().counts().entryRequests_ == 0);
}

// A member on the phone asks while a batch holds every slot of the engine. The batch began in idle seconds, its streams run for
// minutes, and engines know no priorities, so without the home the question would wait behind them.
TEST_CASE("An online arrival without a slot makes one batch stream yield at once and it resumes where it stopped")
{
    Bench bench(1);
    for (std::uint64_t id = 1; id <= 4; ++id)
        bench.arrive(id, RequestClass::Batch);
    bench.run(1s);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        if (bench.dispatches(id) > 0)
            bench.progress(id, static_cast<std::uint32_t>(10 * id));
    }
    bench.run(1s);
    bench.forget();
    for (std::uint64_t id = 10; id <= 13; ++id)
        bench.arrive(id);
    for (std::uint64_t id = 10; id <= 13; ++id)
        CHECK(bench.dispatches(id) == 1);
    const std::vector<CancelAttempt> cancelled = bench.all<CancelAttempt>();
    REQUIRE(!cancelled.empty());
    for (const CancelAttempt& each : cancelled)
        CHECK(each.reason_ == CancelReason::Yield);
    // The one with the least to do again went first.
    CHECK(cancelled.front().attempt_.request_ == RequestId(1));
    for (std::uint64_t id = 10; id <= 13; ++id) {
        bench.progress(id, 1);
        bench.finish(id);
    }
    bench.run(1s);
    CHECK(bench.dispatchOf(1).position_ == 10);
}

// A stream is asked to yield while its last token is on the way. Queued again it would be resumed behind its end, refused by every
// engine, and its job would wait for it past the deadline.
TEST_CASE("A stream that ends as it yields counts as answered")
{
    Bench bench(1);
    bench.arrive(1, RequestClass::Batch);
    bench.progress(1, 99);
    const AttemptId attempt = bench.dispatchOf(1).attempt_;
    for (std::uint64_t id = 10; id <= 14; ++id)
        bench.arrive(id);
    REQUIRE(!bench.all<CancelAttempt>().empty());
    bench.feed(AttemptFinished { attempt, 100 });
    CHECK(bench.all<Answer>().size() == 1);
    bench.run(100ms);
    CHECK(bench.dispatches(1) == 1);
}

// A branch office sends thousands of questions within a second; a member of another group asks one. Served in order of arrival
// the one would wait behind the thousands.
TEST_CASE("One workspace's burst does not hold up another workspace")
{
    Bench bench(1);
    for (std::uint64_t id = 1; id <= 50; ++id)
        bench.arrive(id);
    RequestSpec other = bench.spec(100);
    other.workspace_ = WorkspaceId(2);
    bench.arrive(other);
    CHECK(bench.dispatches(100) == 0);
    bench.finish(1);
    bench.finish(2);
    CHECK(bench.dispatches(100) == 1);
}

TEST_CASE("A request whose deadline passes in the queue gets its final answer then and is not sent upstream")
{
    Bench bench(1);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        bench.arrive(id);
        bench.progress(id, 1);
    }
    bench.tick(150ms);
    RequestSpec late = bench.spec(5);
    late.deadline_ = bench.now() + 600ms;
    bench.arrive(late);
    bench.run(700ms);
    const Refuse refusal = bench.last<Refuse>();
    CHECK(refusal.request_ == RequestId(5));
    CHECK(refusal.reason_ == RefusalReason::Expired);
    CHECK((refusal.runState_ == RunState::NotRun));
    CHECK(bench.dispatches(5) == 0);
}

// The engine is full for seconds to come. A question that can't be answered in time is refused at once, with the time to come
// back, while its caller can still do something else.
TEST_CASE("A request whose predicted wait passes its deadline is refused at once with the time to come back")
{
    Bench bench(1);
    for (std::uint64_t id = 1; id <= 40; ++id)
        bench.arrive(id);
    bench.tick(150ms);
    RequestSpec hopeless = bench.spec(99);
    hopeless.workspace_ = WorkspaceId(1);
    hopeless.deadline_ = bench.now() + 100ms;
    bench.arrive(hopeless);
    const Refuse refusal = bench.last<Refuse>();
    CHECK(refusal.request_ == RequestId(99));
    CHECK(refusal.reason_ == RefusalReason::DeadlineUnreachable);
    CHECK((refusal.runState_ == RunState::NotRun));
    CHECK(refusal.retryAfter_ >= 100ms);
}

TEST_CASE("The same events, times and seed give the same commands")
{
    const auto run = [] {
        Bench bench(5);
        for (std::uint64_t id = 1; id <= 60; ++id) {
            bench.arrive(id, id % 3 == 0 ? RequestClass::Online : RequestClass::Batch);
            bench.tick(7ms);
        }
        std::vector<std::uint64_t> upstreams;
        for (const Dispatch& each : bench.all<Dispatch>())
            upstreams.push_back(each.upstream_.value() * 1000 + each.attempt_.request_.value());
        return upstreams;
    };
    CHECK(run() == run());
}

TEST_CASE("A leaving engine gets nothing new and what waits for it goes elsewhere")
{
    Bench bench(2);
    for (std::uint64_t id = 1; id <= 12; ++id)
        bench.arrive(id);
    UpstreamChanged leaving;
    leaving.upstream_ = UpstreamId(1);
    leaving.service_ = service;
    leaving.region_ = here;
    leaving.state_ = UpstreamState::Leaving;
    bench.feed(leaving);
    bench.forget();
    for (std::uint64_t id = 20; id <= 25; ++id)
        bench.arrive(id);
    for (const SendToHome& each : bench.all<SendToHome>())
        CHECK(each.upstream_ == UpstreamId(2));
    CHECK(bench.all<Refuse>().empty());
}
