// Jobs submitted while the store is unavailable: they are spooled on disks, uploaded to the store afterwards, and neither lost nor run
// twice.
#include "LedgerWorld.h"

#include "ledger/FileDisk.h"

#include <deque>
#include <filesystem>
#include <fstream>
#include <optional>
#include <set>
#include <unistd.h>

using namespace jj;

namespace {

constexpr std::uint32_t items = 6;

void expectDone(LedgerWorld& world, const JobName& job)
{
    CHECK(world.stored(job).size() == items);
    world.checkResults(job);
}

// Of a spool whose disk completes its calls at once.
template <class Disk>
SpoolOutcome storeAtOnce(JobSpool<Disk>& spool, const SpooledJob& job, bool acceptsNew, TimePoint now)
{
    std::optional<SpoolOutcome> stored;
    spool.storeCopy(job, acceptsNew, now, [&stored](SpoolOutcome outcome) { stored = outcome; });
    REQUIRE(stored);
    return *stored;
}

} // namespace

// Guards against refusing jobs during an outage of the store. In an outage of four seconds, callers retried once, were refused again, and
// gave up. Two hosts spool the job, the caller is acknowledged within milliseconds, and each item runs once after the outage.
TEST_CASE("ledger: a job submitted during a store outage is acknowledged at once and runs after the outage")
{
    LedgerWorld world(1, 3);
    world.store_.core().setOutage(true);
    world.advance(100ms);
    world.take(0, "j", items);
    world.advance(20ms);
    CHECK(world.outcomes_["j"] == std::vector { AcceptOutcome::Spooled });
    world.advance(4s);
    CHECK(world.read(0, "j").outcome_ == ReadOutcome::Unavailable);
    world.store_.core().setOutage(false);
    world.advance(8s);
    expectDone(world, "j");
    CHECK(world.spoolNotes_[SpoolNote::Spooled] == 2);
    CHECK(world.host(0).disk_.texts_->empty());
    CHECK(world.starts_.size() == items);
}

// The store's answers take seconds, but the caller needs an acknowledgement within 400 ms. No host can reach the store when the job is
// submitted, so it is spooled at once. Only the first host reaches the store afterwards.
TEST_CASE("ledger: a job is spooled when the store doesn't answer in time")
{
    LedgerWorld world(2, 3);
    for (std::size_t index = 0; index < 3; ++index)
        world.host(index).isStoreUnreachable_ = true;
    world.take(0, "j", items);
    world.host(0).isStoreUnreachable_ = false;
    world.store_.faults().delay_ = 3s;
    world.advance(400ms);
    CHECK(world.outcomes_["j"] == std::vector { AcceptOutcome::Spooled });
}

// A slow store accepts a job after 300 ms, when two hosts have already spooled it. They are notified and discard their copies without a
// call to the store.
TEST_CASE("ledger: copies of a job are discarded when the store accepts it after all")
{
    LedgerWorld world(3, 3);
    world.store_.faults().delay_ = 150ms;
    world.take(0, "j", items);
    world.advance(260ms);
    CHECK(world.outcomes_["j"] == std::vector { AcceptOutcome::Spooled });
    world.advance(6s);
    CHECK(world.spoolNotes_[SpoolNote::Discarded] == 2);
    CHECK(world.spoolNotes_[SpoolNote::AlreadyStored] == 0);
    expectDone(world, "j");
}

// The store accepts the job just before a host answers its spool request. If the discard message were sent at once, it could reach that
// host before the job, and the host would upload a copy that is no longer needed.
TEST_CASE("ledger: a copy is discarded only after its host has answered the spool request")
{
    std::vector<std::string> actions;
    std::function<void(SpoolOutcome, TimePoint)> hostAnswers;
    std::vector<SettledCompletion> storeAnswers;
    IntakeOutlets outlets;
    outlets.store_ = [&](const ObjectCall&, CallClass, TimePoint, SettledCompletion done) { storeAnswers.push_back(std::move(done)); };
    outlets.isStoreUnavailable_ = [] { return true; };
    outlets.chooseReplicas_ = [](const std::vector<NodeId>&) { return std::vector { NodeId(7) }; };
    outlets.requestSpooling_ = [&](NodeId, const SpooledJob&, std::function<void(SpoolOutcome, TimePoint)> done) { hostAnswers = std::move(done); };
    outlets.discardCopy_ = [&](NodeId, const JobName&) { actions.push_back("forget"); };
    outlets.ownerOf_ = [](const JobName&) { return NodeId(1); };
    outlets.notifyOwner_ = [](const JobName&, const Acceptance&) {};
    JobIntake intake({}, std::move(outlets));
    intake.submit(LedgerWorld::submission("j", 1), 2s, TimePoint(1s), LedgerWorld::wallStart, [&](const IntakeAnswer& answer, TimePoint) { actions.emplace_back(toString(answer.outcome_)); });
    for (const SettledCompletion& done : storeAnswers)
        done({}, TimePoint(1s));
    CHECK(actions == std::vector<std::string> { "accepted" });
    hostAnswers(SpoolOutcome::Spooled, TimePoint(1s));
    CHECK(actions == std::vector<std::string> { "accepted", "forget" });
}

// The store answers after 370 ms, and one of the hosts with a disk has just died and isn't considered dead yet. Without replacing that
// host, jobs sent to it were acknowledged only after 450 to 750 ms, too late for their callers.
TEST_CASE("ledger: a host that doesn't answer is replaced before the caller's timeout")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        LedgerWorld world(seed, 4);
        world.store_.faults().delay_ = 185ms;
        world.kill(3);
        world.take(0, "j", items);
        world.advance(360ms);
        CHECK(world.outcomes_["j"] == std::vector { AcceptOutcome::Spooled });
        world.advance(8s);
        expectDone(world, "j");
    }
}

// Two of three hosts are dead without having been detected. A job with a single copy must not be acknowledged.
TEST_CASE("ledger: a job with too few copies is not acknowledged, however many hosts are asked")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        LedgerWorld world(seed, 3);
        world.store_.core().setOutage(true);
        world.kill(1);
        world.kill(2);
        world.take(0, "j", items);
        world.advance(3s);
        const auto& outcomes = world.outcomes_["j"];
        const bool isSpooled = std::find(outcomes.begin(), outcomes.end(), AcceptOutcome::Spooled) != outcomes.end();
        CHECK_FALSE(isSpooled);
    }
}

// While the store is unavailable, one of the two hosts that spool a job loses its disk, and all hosts are restarted.
TEST_CASE("ledger: a spooled job survives the loss of one disk and a restart")
{
    LedgerWorld world(4, 3);
    world.store_.core().setOutage(true);
    world.take(0, "j", items);
    world.advance(50ms);
    bool isWiped = false;
    for (std::size_t index = 0; index < 3; ++index) {
        world.kill(index);
        const bool holdsCopy = world.host(index).disk_.texts_->contains("j");
        if (holdsCopy && !isWiped) {
            world.wipeDisk(index);
            isWiped = true;
        }
        world.start(index);
    }
    CHECK(isWiped);
    world.advance(2s);
    world.store_.core().setOutage(false);
    world.advance(8s);
    expectDone(world, "j");
}

// Too few hosts are available to spool the job, so it is refused. No copy may exist, because the refusal promises that the job doesn't run.
TEST_CASE("ledger: a job is refused and never runs if too few hosts can spool it")
{
    LedgerWorld world(5, 2);
    world.store_.core().setOutage(true);
    world.markDead(1);
    world.take(0, "j", items);
    world.advance(3s);
    CHECK(world.outcomes_["j"] == std::vector { AcceptOutcome::NotAccepted });
    world.store_.core().setOutage(false);
    world.advance(5s);
    CHECK(world.starts_.empty());
}

// One of two hosts spools the job, the other one has just died. The job must not be refused as "not run", because the copy brings it to the
// store.
TEST_CASE("ledger: a job with one copy too few has an unknown outcome and may run")
{
    LedgerWorld world(6, 2);
    world.store_.core().setOutage(true);
    world.kill(1);
    world.take(0, "j", items);
    world.advance(3s);
    CHECK(world.outcomes_["j"] == std::vector { AcceptOutcome::Unknown });
    world.store_.core().setOutage(false);
    world.advance(8s);
    expectDone(world, "j");
}

// A host returns after more than the retention time. Its copy may be of a job that has completed and been removed, and uploading it would
// run the job again.
TEST_CASE("ledger: a copy older than the retention is dropped")
{
    LedgerWorld world(7, 3);
    world.store_.core().setOutage(true);
    world.take(0, "j", items);
    world.advance(50ms);
    for (std::size_t index = 0; index < 3; ++index)
        world.kill(index);
    world.advance(SpoolSettings().retention_ + 1s);
    world.store_.core().setOutage(false);
    for (std::size_t index = 0; index < 3; ++index)
        world.start(index);
    world.advance(5s);
    CHECK(world.spoolNotes_[SpoolNote::Expired] == 2);
    CHECK(world.starts_.empty());
}

TEST_CASE("ledger: a job that exceeds the spool's size limit is refused")
{
    MemoryDisk disk;
    SpoolSettings settings;
    SpooledJob job { LedgerWorld::submission("j", items), 0 };
    settings.maxBytes_ = encode(job).size() + 1;
    const auto ignore = [](SpoolNote, const JobName&, std::error_code) {};
    SpoolOutlets outlets { [](const ObjectCall&, CallClass, TimePoint, const SettledCompletion&) {}, [] { return true; }, [](const JobName&) { return NodeId(1); }, [](const JobName&, const Acceptance&) {}, [](const JobName&) {}, ignore, [] {} };
    JobSpool<MemoryDisk> spool(disk, settings, outlets);
    CHECK(storeAtOnce(spool, job, true, TimePoint(1s)) == SpoolOutcome::Spooled);
    CHECK(storeAtOnce(spool, job, true, TimePoint(1s)) == SpoolOutcome::Spooled); // spooling the same job again needs no further space
    job.submission_.job_ = "k";
    CHECK(storeAtOnce(spool, job, true, TimePoint(1s)) == SpoolOutcome::Refused);
    CHECK(disk.texts_->size() == 1);
}

namespace {

// A spool whose calls to the store are recorded and not answered.
class RecordedSpool {
public:
    explicit RecordedSpool(const SpoolSettings& settings = {})
        : spool_(disk_, settings, outlets())
    {
    }

    SpoolOutcome store(const JobName& job, bool acceptsNew = true) { return storeAtOnce(spool_, { LedgerWorld::submission(job, 1), 0 }, acceptsNew, now_); }
    void runFor(Duration time)
    {
        now_ += time;
        spool_.tick(now_, WallTime()); // when the jobs were accepted
    }

    MemoryDisk disk_;
    std::vector<std::string> keys_; // of the calls
    std::set<CallClass> classes_;

private:
    SpoolOutlets outlets()
    {
        SpoolOutlets outlets;
        outlets.store_ = [this](const ObjectCall& call, CallClass callClass, TimePoint, const SettledCompletion&) {
            keys_.push_back(call.key_);
            classes_.insert(callClass);
        };
        outlets.isStoreUnavailable_ = [] { return false; };
        outlets.ownerOf_ = [](const JobName&) { return NodeId(1); };
        outlets.note_ = [](SpoolNote, const JobName&, std::error_code) {};
        outlets.sizeChanged_ = [] {};
        return outlets;
    }

    TimePoint now_ { 1s };

public:
    JobSpool<MemoryDisk> spool_;
};

} // namespace

// Guards against jobs that are accepted on disks in greater number than the store takes, and stay there.
TEST_CASE("ledger: a host refuses more copies than it can upload in time")
{
    SpoolSettings settings;
    settings.maxCopies_ = 2;
    RecordedSpool spool(settings);
    CHECK(spool.store("a") == SpoolOutcome::Spooled);
    CHECK(spool.store("b") == SpoolOutcome::Spooled);
    CHECK(spool.spool_.isFull());
    CHECK(spool.store("c") == SpoolOutcome::Refused);
    CHECK(spool.disk_.texts_->size() == 2);
    spool.spool_.discardCopy("a");
    CHECK(spool.store("c") == SpoolOutcome::Spooled);
}

// Guards against a job that runs although it was refused: the host that refuses it has a copy of an earlier submission.
TEST_CASE("ledger: a host that is full or leaves confirms the copies that it holds")
{
    SpoolSettings settings;
    settings.maxCopies_ = 1;
    RecordedSpool spool(settings);
    CHECK(spool.store("a") == SpoolOutcome::Spooled);
    CHECK(spool.store("a") == SpoolOutcome::Spooled);
    CHECK(spool.store("a", false) == SpoolOutcome::Spooled);
    CHECK(spool.store("b", false) == SpoolOutcome::Refused);
}

// Guards against jobs that wait on a disk until all jobs with lower names have been uploaded.
TEST_CASE("ledger: copies are uploaded in the order in which they came, before other writes")
{
    SpoolSettings settings;
    settings.maxConcurrentUploads_ = 2;
    RecordedSpool spool(settings);
    for (const char* job : { "c", "b", "a" }) {
        CHECK(spool.store(job) == SpoolOutcome::Spooled);
        spool.runFor(10ms);
    }
    spool.runFor(settings.firstUploadDelay_);
    CHECK(spool.keys_ == std::vector { itemPageKey("c", 0), headKey("c"), itemPageKey("b", 0), headKey("b") });
    CHECK(spool.classes_ == std::set { CallClass::Lease });
}

// Guards against hosts that spend most of their writes on copies of jobs that another host has uploaded.
TEST_CASE("ledger: the host that uploads a job first tells the others, which discard their copies")
{
    LedgerWorld world(1, 3);
    world.store_.core().setOutage(true);
    world.advance(100ms);
    for (const char* job : { "j", "k", "l" })
        world.take(0, job, items);
    world.advance(4s);
    REQUIRE(world.spoolNotes_[SpoolNote::Spooled] == 6);
    world.store_.core().setOutage(false);
    world.advance(8s);
    CHECK(world.spoolNotes_[SpoolNote::Stored] == 3);
    CHECK(world.spoolNotes_[SpoolNote::AlreadyStored] == 0);
    CHECK(world.spoolNotes_[SpoolNote::Discarded] == 3);
    for (const char* job : { "j", "k", "l" })
        expectDone(world, job);
}

// Guards against a job that runs although it was refused: a power loss undoes the removal of its copy, whose write had failed.
TEST_CASE("ledger: a job whose copy may come back after a failed write isn't refused")
{
    struct FailingSync : MemoryDisk {
        void write(const std::string& name, const std::string& text, const DiskCompletion<void>& done) const
        {
            (*texts_)[name] = text;
            done(std::make_error_code(std::errc::io_error));
        }
    };
    const auto ignore = [](SpoolNote, const JobName&, std::error_code) {};
    SpoolOutlets outlets { [](const ObjectCall&, CallClass, TimePoint, const SettledCompletion&) {}, [] { return true; }, [](const JobName&) { return NodeId(1); }, [](const JobName&, const Acceptance&) {}, [](const JobName&) {}, ignore, [] {} };
    JobSpool<FailingSync> spool(FailingSync {}, SpoolSettings(), outlets);
    CHECK(storeAtOnce(spool, { LedgerWorld::submission("j", items), 0 }, true, TimePoint(1s)) == SpoolOutcome::Unknown);
}

namespace {

// A disk whose calls take effect in SlowSpool::runDisk().
class SlowDisk {
public:
    void names(DiskCompletion<std::vector<std::string>> done)
    {
        calls_->push_back([this, done = std::move(done)] { texts_.names(done); });
    }
    void read(const std::string& name, DiskCompletion<std::string> done)
    {
        calls_->push_back([this, name, done = std::move(done)] { texts_.read(name, done); });
    }
    void write(const std::string& name, std::string text, DiskCompletion<void> done)
    {
        calls_->push_back([this, name, text = std::move(text), done = std::move(done)] { texts_.write(name, text, done); });
    }
    void remove(const std::string& name, DiskCompletion<void> done)
    {
        calls_->push_back([this, name, done = std::move(done)] { texts_.remove(name, done); });
    }

    MemoryDisk texts_;
    std::shared_ptr<std::deque<std::function<void()>>> calls_ = std::make_shared<std::deque<std::function<void()>>>();
};

class SlowSpool {
public:
    explicit SlowSpool(const SlowDisk& disk = {}, const SpoolSettings& settings = {})
        : disk_(disk)
        , spool_(disk, settings, outlets())
    {
    }

    void store(const JobName& job, bool acceptsNew = true)
    {
        spool_.storeCopy({ LedgerWorld::submission(job, 1), 0 }, acceptsNew, TimePoint(1s), [this](SpoolOutcome outcome) { outcomes_.push_back(outcome); });
    }
    void runDisk()
    {
        while (!disk_.calls_->empty()) {
            const auto call = std::move(disk_.calls_->front());
            disk_.calls_->pop_front();
            call();
        }
    }

    SlowDisk disk_;
    std::vector<SpoolOutcome> outcomes_;
    std::vector<SpoolNote> notes_;

private:
    SpoolOutlets outlets()
    {
        SpoolOutlets outlets;
        outlets.isStoreUnavailable_ = [] { return true; };
        outlets.note_ = [this](SpoolNote note, const JobName&, std::error_code) { notes_.push_back(note); };
        outlets.sizeChanged_ = [] {};
        return outlets;
    }

public:
    JobSpool<SlowDisk> spool_;
};

} // namespace

// Guards against a job that is acknowledged before its copy is durable, by its first request or by one that comes again.
TEST_CASE("ledger: a job is spooled only once the disk has its copy")
{
    SlowSpool spool;
    spool.store("j");
    spool.store("j", false);
    CHECK(spool.outcomes_.empty());
    CHECK(spool.spool_.size() == 1);
    spool.runDisk();
    CHECK(spool.outcomes_ == std::vector { SpoolOutcome::Spooled, SpoolOutcome::Spooled });
    CHECK(spool.disk_.texts_.texts_->size() == 1);
}

// Guards against a copy that stays on the disk because it was discarded while it was being written.
TEST_CASE("ledger: a copy that is discarded while it is written is removed afterwards")
{
    SlowSpool spool;
    spool.store("j");
    spool.spool_.discardCopy("j");
    spool.runDisk();
    CHECK(spool.spool_.size() == 0);
    CHECK(spool.disk_.texts_.texts_->empty());
    CHECK(spool.notes_ == std::vector { SpoolNote::Spooled, SpoolNote::Discarded });
}

// Guards against a job that runs although it was refused: an earlier process has left a copy that hasn't been read yet.
TEST_CASE("ledger: while copies are being read, a job is neither spooled nor refused")
{
    SlowDisk disk;
    disk.texts_.write("j", encode(SpooledJob { LedgerWorld::submission("j", 1), 0 }), [](const Result<void>&) {});
    SlowSpool spool(disk);
    spool.spool_.load(TimePoint(1s));
    spool.store("j", false);
    CHECK(spool.outcomes_ == std::vector { SpoolOutcome::Unknown });
    CHECK_FALSE(spool.spool_.isLoaded());
    spool.runDisk();
    CHECK(spool.spool_.isLoaded());
    spool.store("j", false);
    CHECK(spool.outcomes_.back() == SpoolOutcome::Spooled);
}

// Guards against a host whose memory fills with copies that its disk doesn't take.
TEST_CASE("ledger: copies that wait for a slow disk are limited by their bytes")
{
    SpoolSettings settings;
    settings.maxUnwrittenBytes_ = encode(SpooledJob { LedgerWorld::submission("a", 1), 0 }).size() * 2;
    SlowSpool spool({}, settings);
    for (const char* job : { "a", "b", "c" })
        spool.store(job);
    CHECK(spool.outcomes_ == std::vector { SpoolOutcome::Refused });
    spool.runDisk();
    spool.store("c");
    spool.runDisk();
    CHECK(spool.outcomes_ == std::vector { SpoolOutcome::Refused, SpoolOutcome::Spooled, SpoolOutcome::Spooled, SpoolOutcome::Spooled });
}

TEST_CASE("ledger: a disk that can't be listed is tried again")
{
    struct AbsentDisk : MemoryDisk {
        void names(const DiskCompletion<std::vector<std::string>>& done) const
        {
            if (*isAbsent_)
                return done(std::make_error_code(std::errc::io_error));
            MemoryDisk::names(done);
        }
        std::shared_ptr<bool> isAbsent_ = std::make_shared<bool>(true);
    };
    AbsentDisk disk;
    disk.write("j", encode(SpooledJob { LedgerWorld::submission("j", 1), 0 }), [](const Result<void>&) {});
    std::vector<SpoolNote> notes;
    SpoolOutlets outlets;
    outlets.isStoreUnavailable_ = [] { return true; };
    outlets.note_ = [&notes](SpoolNote note, const JobName&, std::error_code) { notes.push_back(note); };
    outlets.sizeChanged_ = [] {};
    JobSpool<AbsentDisk> spool(disk, {}, std::move(outlets));
    spool.load(TimePoint(1s));
    CHECK_FALSE(spool.isUsable());
    CHECK(storeAtOnce(spool, { LedgerWorld::submission("k", 1), 0 }, true, TimePoint(2s)) == SpoolOutcome::Refused);
    *disk.isAbsent_ = false;
    spool.tick(TimePoint(2s), WallTime());
    CHECK_FALSE(spool.isUsable());
    spool.tick(TimePoint(1s) + SpoolSettings().setAsideRetryDelay_, WallTime());
    CHECK(spool.isUsable());
    CHECK(spool.size() == 1);
    CHECK(notes == std::vector { SpoolNote::DiskFailed });
}

TEST_CASE("ledger: a spooled job survives encoding, and a damaged text doesn't decode")
{
    SpooledJob job { LedgerWorld::submission("j", items), 1 };
    job.submission_.items_[0].headers_ = { { "Name", "a \"quoted\"\nvalue" } };
    job.submission_.head_.acceptedAt_ = LedgerWorld::wallStart;
    const std::string text = encode(job);
    const auto back = decodeSpooledJob(text);
    REQUIRE(back);
    CHECK(back.value().rank_ == 1);
    CHECK(back.value().submission_.job_ == "j");
    CHECK(back.value().submission_.head_.acceptedAt_ == LedgerWorld::wallStart);
    CHECK(back.value().submission_.head_.runTarget_ == job.submission_.head_.runTarget_);
    CHECK(back.value().submission_.items_.size() == items);
    CHECK(back.value().submission_.items_[0].headers_ == job.submission_.items_[0].headers_);
    for (std::size_t size = 0; size < text.size(); ++size)
        CHECK_FALSE(decodeSpooledJob(text.substr(0, size)));
    for (std::size_t index = 0; index < text.size(); index += 3) {
        std::string damaged = text;
        damaged[index] = static_cast<char>(damaged[index] ^ 1);
        CHECK_FALSE(decodeSpooledJob(damaged));
    }
}

// Guards against an accepted job that is deleted because its host was out of descriptors when it read its disk.
TEST_CASE("ledger: a copy that can't be read for a moment is kept and uploaded later")
{
    LedgerWorld world(4, 3);
    world.store_.core().setOutage(true);
    world.advance(100ms);
    world.take(0, "j", items);
    world.advance(20ms);
    REQUIRE(world.outcomes_["j"] == std::vector { AcceptOutcome::Spooled });
    for (std::size_t index = 0; index < 3; ++index)
        *world.host(index).disk_.failingReads_ = 5;
    world.advance(2s);
    world.store_.core().setOutage(false);
    world.advance(10s);
    expectDone(world, "j");
}

// Guards against a host that can never leave because one file of its disk stays unreadable, and against a job that it never tries again.
TEST_CASE("ledger: a copy that stays unreadable no longer counts and is tried again")
{
    constexpr int always = 1'000'000;
    MemoryDisk disk;
    (*disk.texts_)["odd"] = "text";
    *disk.failingReads_ = always;
    std::vector<SpoolNote> notes;
    SpoolOutlets outlets;
    outlets.isStoreUnavailable_ = [] { return false; };
    outlets.note_ = [&notes](SpoolNote note, const JobName&, std::error_code) { notes.push_back(note); };
    outlets.sizeChanged_ = [] {};
    JobSpool<MemoryDisk> spool(disk, {}, std::move(outlets));
    TimePoint now(1s);
    spool.load(now);
    CHECK(spool.size() == 1);
    for (const TimePoint end = now + 11s; now < end; now += 100ms)
        spool.tick(now, LedgerWorld::wallStart);
    CHECK(spool.size() == 0);
    CHECK(disk.texts_->contains("odd"));
    CHECK(std::count(notes.begin(), notes.end(), SpoolNote::ReadFailed) == static_cast<std::ptrdiff_t>(notes.size()));
    // It can be read now, and its text is damaged.
    *disk.failingReads_ = 0;
    for (const TimePoint end = now + 11s; now < end; now += 100ms)
        spool.tick(now, LedgerWorld::wallStart);
    CHECK(std::count(notes.begin(), notes.end(), SpoolNote::Unreadable) == 1);
    CHECK(spool.size() == 0);
    CHECK(disk.texts_->empty());
}

TEST_CASE("ledger: files of a disk persist, and remainders of interrupted writes are removed")
{
    const std::string folder = (std::filesystem::temp_directory_path() / ("jayjunction-spool-" + std::to_string(::getpid()))).string();
    {
        auto disk = FileDisk::open(folder);
        REQUIRE(disk);
        CHECK(disk.value().write("a", "text of a"));
        CHECK(disk.value().write("..", "a name that is a folder's elsewhere"));
        CHECK(disk.value().write("a", "newer text"));
        CHECK(disk.value().write("b", "text of b"));
        CHECK(disk.value().remove("b"));
        CHECK(disk.value().remove("b"));
        std::ofstream(folder + "/c.job.part") << "half a te";
    }
    auto disk = FileDisk::open(folder);
    REQUIRE(disk);
    auto names = disk.value().names().value();
    std::sort(names.begin(), names.end());
    CHECK(names == std::vector<std::string> { "..", "a" });
    CHECK(disk.value().read("a").value() == "newer text");
    CHECK_FALSE(disk.value().read("b"));
    CHECK_FALSE(std::filesystem::exists(folder + "/c.job.part"));
    std::filesystem::remove_all(folder);
    CHECK_FALSE(disk.value().names());
    CHECK_FALSE(disk.value().write("d", "no folder"));
    CHECK_FALSE(FileDisk::open("/proc/no-such-place/x"));
}

// Guards against a process that ends, or does without its disk, because of one entry that can't be read or removed.
TEST_CASE("ledger: entries of a disk that can't be read or removed are errors of their own")
{
    const std::filesystem::path folder = std::filesystem::temp_directory_path() / ("jayjunction-odd-entries-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder / "odd.job" / "inside");
    std::filesystem::create_directories(folder / "odd.job.part" / "inside");
    auto disk = FileDisk::open(folder.string());
    REQUIRE(disk);
    CHECK(disk.value().names().value() == std::vector<std::string> { "odd" });
    CHECK(disk.value().read("odd").error() == std::errc::invalid_argument);
    CHECK_FALSE(disk.value().remove("odd"));
    CHECK(disk.value().write("sound", "text"));
    CHECK(disk.value().read("sound").value() == "text");
    std::filesystem::remove_all(folder);
}
