// Failures of upstreams and homes: retries, circuits, hung streams, contents that crash engines.
#include "Bench.h"

#include <set>

using namespace jj;
using namespace jj::test;

// The engine's host is lost with a question in flight. The member would hear nothing; the question is idempotent, so it goes
// to another engine at once, and nothing new goes to the lost one.
TEST_CASE("A question on a lost engine is retried on another one")
{
    Bench bench(3);
    bench.arrive(1);
    const UpstreamId first = bench.dispatchOf(1).upstream_;
    bench.fail(1, FailureClass::Disconnected);
    REQUIRE(bench.dispatches(1) == 2);
    CHECK(bench.dispatchOf(1).upstream_ != first);
    bench.progress(1, 1);
    bench.finish(1);
    CHECK(bench.all<Answer>().size() == 1);
    CHECK(bench.all<Refuse>().empty());
}

// An order was on its way to the back end when the connection broke. Sent again it might be billed twice, so its outcome is
// reported as unknown; an order that never left may go elsewhere.
TEST_CASE("A non-idempotent request is retried only when no byte of it was sent")
{
    Bench bench(3, { .upstream_ = {}, .service_ = {}, .region_ = {}, .failureDomain_ = {}, .kind_ = UpstreamKind::Plain, .state_ = {}, .slots_ = {}, .kvTokens_ = {}, .resumes_ = false, .exportsKv_ = false });
    RequestSpec order = bench.spec(1);
    order.idempotent_ = false;
    bench.arrive(order);
    bench.fail(1, FailureClass::Connect, false);
    REQUIRE(bench.dispatches(1) == 2);
    bench.fail(1, FailureClass::Disconnected, true);
    CHECK(bench.dispatches(1) == 2);
    const Refuse refusal = bench.last<Refuse>();
    CHECK(refusal.reason_ == RefusalReason::OutcomeUnknown);
    CHECK((refusal.runState_ == RunState::OutcomeUnknown));
}

// The clerk's item has waited at the home for longer than its holder may let it begin. The home gives it back without sending it, its slot
// is free at once, and the engine, which never saw it, goes on getting work.
TEST_CASE("An item that lapsed before it was sent frees its slot and doesn't count against the engine")
{
    Bench bench(1);
    constexpr std::uint64_t lapsed = 6; // more failures than open a circuit
    for (std::uint64_t id = 1; id <= lapsed; ++id) {
        bench.arrive(id, RequestClass::Batch);
        REQUIRE(bench.dispatches(id) == 1);
        bench.fail(id, FailureClass::Lapsed, false);
        const Refuse refusal = bench.last<Refuse>();
        CHECK(refusal.reason_ == RefusalReason::Expired);
        CHECK((refusal.runState_ == RunState::NotRun));
        CHECK(bench.core().counts().homeRunning_ == 0);
    }
    bench.arrive(10);
    CHECK(bench.dispatches(10) == 1);
}

// All engines fail whatever they get. Retried without a budget each question would come back three times, and the engines,
// failing under load, would never recover.
TEST_CASE("Retries are a small share of the requests when every engine fails")
{
    Bench bench(4);
    constexpr std::uint64_t count = 2000;
    for (std::uint64_t id = 1; id <= count; ++id) {
        bench.arrive(id);
        while (bench.core().counts().homeRunning_ > 0) {
            const std::size_t before = bench.dispatches(id);
            bench.fail(id, FailureClass::ServerError);
            if (bench.dispatches(id) == before)
                break;
        }
        bench.tick(20ms);
    }
    bench.run(2s);
    CHECK(bench.core().counts().entryRequests_ == 0);
    CHECK(bench.core().counts().retries_ <= count / 10 + 32);
}

// An engine answers nothing but errors. Its circuit opens, its queue goes elsewhere at once, and a probe and one trial request
// bring it back; nobody waits for that.
TEST_CASE("A circuit opens after failures and closes over a probe and one successful request")
{
    Bench bench(1);
    for (std::uint64_t id = 1; id <= 3; ++id)
        bench.arrive(id);
    for (std::uint64_t id = 1; id <= 3; ++id)
        bench.fail(id, FailureClass::ServerError);
    bench.forget();
    bench.arrive(10);
    CHECK(bench.dispatches(10) == 0);
    CHECK(bench.last<Refuse>().reason_ == RefusalReason::NoUpstream);
    bench.run(400ms);
    REQUIRE(bench.all<ProbeUpstream>().size() == 1);
    bench.feed(ProbeEnded { UpstreamId(1), true });
    bench.run(600ms);
    bench.arrive(11);
    bench.arrive(12);
    CHECK(bench.dispatches(11) == 1);
    CHECK(bench.dispatches(12) == 0);
    bench.progress(11, 1);
    CHECK(bench.dispatches(12) == 1);
}

// Something between home and engine forgot the connection: the stream is open and nothing comes. Only the missing tokens tell.
TEST_CASE("A stream without progress is given up and goes on where it stopped on another engine")
{
    Bench bench(2);
    bench.arrive(1);
    const UpstreamId first = bench.dispatchOf(1).upstream_;
    bench.progress(1, 7);
    bench.run(6s);
    REQUIRE(bench.dispatches(1) == 2);
    CHECK(bench.dispatchOf(1).upstream_ != first);
    CHECK(bench.dispatchOf(1).position_ == 7);
    CHECK(bench.all<CancelAttempt>().front().reason_ == CancelReason::Superseded);
}

// Guards against orders whose outcome is reported as unknown although their back end was only slow: they may not be sent again.
TEST_CASE("A slow call that may not run again is waited for until its deadline")
{
    for (const bool isAnswered : { true, false }) {
        Bench bench(2, { .upstream_ = {}, .service_ = {}, .region_ = {}, .failureDomain_ = {}, .kind_ = UpstreamKind::Plain, .state_ = {}, .slots_ = {}, .kvTokens_ = {}, .resumes_ = false, .exportsKv_ = false });
        RequestSpec order = bench.spec(1);
        order.idempotent_ = false;
        order.deadline_ = bench.now() + 20s;
        bench.arrive(order);
        bench.run(10s);
        CHECK(bench.all<Refuse>().empty());
        CHECK(bench.all<CancelAttempt>().empty());
        if (isAnswered)
            bench.finish(1);
        else
            bench.run(11s);
        CHECK(bench.dispatches(1) == 1);
        CHECK(bench.all<Answer>().size() == (isAnswered ? 1 : 0));
        CHECK(bench.all<Refuse>().size() == (isAnswered ? 0 : 1));
    }
}

// The same for the rest of an answer that no other engine can continue.
TEST_CASE("A stream that can't be resumed is waited for until its deadline")
{
    Bench bench(2, { .upstream_ = {}, .service_ = {}, .region_ = {}, .failureDomain_ = {}, .kind_ = {}, .state_ = {}, .slots_ = {}, .kvTokens_ = {}, .resumes_ = false, .exportsKv_ = false });
    RequestSpec question = bench.spec(1);
    question.deadline_ = bench.now() + 20s;
    bench.arrive(question);
    bench.progress(1, 7);
    bench.run(10s);
    CHECK(bench.all<Refuse>().empty());
    bench.progress(1, 8);
    bench.run(4s);
    CHECK(bench.all<Refuse>().empty());
    bench.run(8s);
    CHECK(bench.all<Refuse>().size() == 1);
    CHECK(bench.dispatches(1) == 1);
}

// The first engine's answer comes after all, when the question has gone on to another. The member must not hear it twice.
TEST_CASE("An answer to a superseded attempt is dropped")
{
    Bench bench(2);
    bench.arrive(1);
    const AttemptId stale = bench.dispatchOf(1).attempt_;
    bench.fail(1, FailureClass::Silent);
    bench.feed(AttemptFinished { stale, 100 });
    CHECK(bench.all<Answer>().empty());
    bench.finish(1);
    CHECK(bench.all<Answer>().size() == 1);
}

// One question crashes whatever runs it, with others in flight beside it. All are suspects, none is refused; they run again,
// no two suspects on one engine, and the next crash names the culprit. Its caller sends it again and is refused at the door.
TEST_CASE("A content that crashes engines falls two of them and the innocent are answered")
{
    Bench bench(6);
    constexpr std::uint64_t poison = 3;
    for (std::uint64_t id = 1; id <= 12; ++id)
        bench.arrive(id);
    const UpstreamId crashed = bench.dispatchOf(poison).upstream_;
    std::set<UpstreamId> fallen;
    const auto crash = [&](UpstreamId engine) {
        fallen.insert(engine);
        for (std::uint64_t id = 1; id <= 12; ++id) {
            const Dispatch each = bench.dispatchOf(id);
            if (each.upstream_ == engine)
                bench.feed(AttemptFailed { each.attempt_, FailureClass::Crashed, true, 0 });
        }
    };
    crash(crashed);
    CHECK(bench.all<Refuse>().empty());
    const UpstreamId second = bench.dispatchOf(poison).upstream_;
    REQUIRE(second != crashed);
    crash(second);
    // Those beside it are suspects now and wait their turn; each that finishes is cleared.
    for (int round = 0; round < 40; ++round) {
        for (std::uint64_t id = 1; id <= 12; ++id) {
            if (id != poison && !bench.dispatchOf(id).attempt_.request_.isNone())
                bench.finish(id);
        }
        bench.run(50ms);
    }
    CHECK(bench.all<Answer>().size() == 11);
    REQUIRE(bench.all<Refuse>().size() == 1);
    CHECK(bench.last<Refuse>().request_ == RequestId(poison));
    CHECK(bench.last<Refuse>().reason_ == RefusalReason::Quarantined);
    CHECK(fallen.size() == 2);

    RequestSpec again = bench.spec(50);
    again.fingerprint_ = Fingerprint(1000 + poison);
    bench.arrive(again);
    CHECK(bench.dispatches(50) == 0);
    CHECK((bench.last<Refuse>().runState_ == RunState::NotRun));
}

// An engine's host is lost with dozens of questions in flight, all of them suspects. Checked one whole answer after another the
// last would wait a minute; a suspect that is past the place where the engine fell is innocent, and the next one starts.
TEST_CASE("A suspect is cleared by its first tokens and makes room for the next")
{
    Bench bench(2);
    bench.arrive(1);
    bench.arrive(2);
    const UpstreamId crashed = bench.dispatchOf(1).upstream_;
    for (std::uint64_t id = 1; id <= 2; ++id) {
        bench.feed(FingerprintLearned { Fingerprint(1000 + id), service, 1, crashed });
        CHECK(bench.all<Refuse>().empty());
    }
    const bool firstRuns = bench.dispatchOf(1).attempt_.handOver_ == 2;
    const std::uint64_t runs = firstRuns ? 1 : 2;
    const std::uint64_t waits = 3 - runs;
    const std::size_t before = bench.dispatches(waits);
    bench.progress(runs, 4);
    CHECK(bench.dispatches(waits) == before + 1);
    CHECK(bench.last<ShareFingerprint>().fingerprint_.crashes_ == 0);
}

// Guards against a crash that nobody counts because its stream was asked to yield while the engine was being probed: the content would crash
// one more engine, and the item would go back to the dead one.
TEST_CASE("A crash that crosses a yield counts")
{
    Bench bench(1);
    bench.arrive(1, RequestClass::Batch);
    bench.progress(1, 2);
    const AttemptId attempt = bench.dispatchOf(1).attempt_;
    for (std::uint64_t id = 10; id <= 14; ++id)
        bench.arrive(id);
    REQUIRE(bench.last<CancelAttempt>().attempt_ == attempt);
    bench.feed(AttemptFailed { attempt, FailureClass::Crashed, true, 2 });
    const auto shared = bench.all<ShareFingerprint>();
    REQUIRE(shared.size() == 1);
    CHECK(shared.front().fingerprint_.fingerprint_ == Fingerprint(1001));
    CHECK(shared.front().fingerprint_.crashes_ == 1);
}

// Guards against an item that its engine has refused for good and that runs again because the refusal crossed a yield.
TEST_CASE("A refusal that crosses a yield ends the item")
{
    Bench bench(1);
    bench.arrive(1, RequestClass::Batch);
    const AttemptId attempt = bench.dispatchOf(1).attempt_;
    for (std::uint64_t id = 10; id <= 14; ++id)
        bench.arrive(id);
    REQUIRE(bench.last<CancelAttempt>().attempt_ == attempt);
    bench.feed(AttemptFailed { attempt, FailureClass::Rejected, true, 0 });
    for (std::uint64_t id = 10; id <= 14; ++id)
        bench.finish(id);
    bench.run(1s);
    CHECK(bench.dispatches(1) == 1);
    REQUIRE(bench.all<Refuse>().size() == 1);
    CHECK(bench.last<Refuse>().request_ == RequestId(1));
    CHECK(bench.last<Refuse>().reason_ == RefusalReason::UpstreamError);
}

// The caller sends the crashing question to every host at once: another host's copy has crashed an engine while ours runs.
TEST_CASE("A copy that runs here stops when a peer tells that its content crashed an engine")
{
    Bench bench(4);
    bench.arrive(1);
    const Dispatch before = bench.dispatchOf(1);
    bench.feed(FingerprintLearned { Fingerprint(1001), service, 1, UpstreamId(99) });
    REQUIRE(!bench.all<CancelAttempt>().empty());
    CHECK(bench.last<CancelAttempt>().attempt_ == before.attempt_);
    bench.feed(FingerprintLearned { Fingerprint(1001), service, 2, UpstreamId(98) });
    CHECK(bench.last<Refuse>().reason_ == RefusalReason::Quarantined);
}

// The home's host is lost. Its questions would hang until their deadline; the entry steps over it to the next in the hash order.
TEST_CASE("A silent home is stepped over and a non-idempotent request on it ends as unknown")
{
    Bench bench(3);
    bench.feed(NodeChanged { NodeId(11), here, NodeState::Live });
    bench.feed(NodeChanged { NodeId(12), here, NodeState::Live });
    std::uint64_t id = 1;
    const auto toOther = [&](bool idempotent) {
        for (;; ++id) {
            RequestSpec spec = bench.spec(id);
            spec.idempotent_ = idempotent;
            bench.arrive(spec);
            if (bench.last<SendToHome>().home_ != self || id > 200)
                return bench.last<SendToHome>();
        }
    };
    const SendToHome lost = toOther(true);
    REQUIRE(lost.home_ != self);
    bench.feed(HomeLost { lost.handOver_, 0, true });
    CHECK(bench.last<SendToHome>().handOver_.request_ == lost.handOver_.request_);
    CHECK(bench.last<SendToHome>().home_ != lost.home_);
    ++id;
    const SendToHome order = toOther(false);
    REQUIRE(order.home_ != self);
    bench.feed(HomeLost { order.handOver_, 0, true });
    CHECK(bench.last<Refuse>().reason_ == RefusalReason::OutcomeUnknown);
}

TEST_CASE("A job whose slack has run out keeps a share of a busy engine and no more")
{
    Bench bench(1);
    bench.feed(JobPace { JobId(1), service, bench.now() + 10s, 1000, 1.0 });
    for (std::uint64_t id = 1; id <= 4; ++id) {
        RequestSpec item = bench.spec(id, RequestClass::Batch);
        item.job_ = JobId(1);
        bench.arrive(item);
    }
    for (std::uint64_t id = 20; id <= 40; ++id)
        bench.arrive(id);
    bench.run(200ms);
    // A tenth of four slots, rounded up: one stream, which no question pushes out.
    std::size_t kept = 0;
    for (std::uint64_t id = 1; id <= 4; ++id)
        kept += bench.dispatches(id);
    for (const CancelAttempt& each : bench.all<CancelAttempt>())
        kept -= each.attempt_.request_.value() <= 4 ? 1 : 0;
    CHECK(kept == 1);
}
