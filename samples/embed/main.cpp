// Uses jayjunction's libraries without the daemon: two job cores over one object store, in virtual time.
//
// A JobCore decides and does nothing: it receives events and a time, and hands out commands. The program around it obeys them. Here
// the store is the one kept in memory and the upstream is a line of code; in a real program they are the platform's object API and
// your own calls. The story: the first node takes a booking and a job of three items, then dies; the second has to keep the
// promises. The program says what happens and exits 0 when they held.
#include "jobs/JobCore.h"
#include "objects/VirtualStore.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <utility>

using namespace jj;

namespace {

constexpr Duration step = 20ms;
constexpr std::uint32_t partitions = 1; // one lease covers all jobs

// What the hosts share: store, time, and what callers received and what ran.
struct World {
    VirtualStore store_ = VirtualStore(1);
    ManualClock clock_;
    std::set<std::string> runs_; // items that ran, by custom_id
    std::map<AskId, JobCommand> answers_;
    bool acknowledged_ = false;
};

// One host: a core, and the code that obeys its commands.
class Host {
public:
    Host(std::string name, NodeId id, World& world)
        : name_(std::move(name))
        , world_(world)
    {
        JobSettings settings;
        settings.partitions_ = partitions; // the same on each node
        if (Result<std::unique_ptr<JobCore>> made = JobCore::create({ settings, id, Incarnation(1), id.value() }))
            core_ = std::move(made.value());
    }

    bool isAlive() const { return core_ != nullptr; }
    bool holdsLease() const { return isAlive() && core_->counts().heldPartitions_ == partitions; }

    // The process is gone, with all it had in memory.
    void die()
    {
        std::cout << name_ << " dies\n";
        core_.reset();
    }

    void tell(JobEvent event)
    {
        if (!isAlive())
            return;
        core_->handle(std::move(event), world_.clock_.now(), world_.clock_.wallNow());
        obey();
    }

    void tick()
    {
        for (ItemFinished& event : std::exchange(finished_, {}))
            tell(std::move(event));
        if (!isAlive())
            return;
        core_->tick(world_.clock_.now(), world_.clock_.wallNow());
        obey();
    }

private:
    void obey()
    {
        for (JobCommand& command : core_->take()) {
            if (auto* call = std::get_if<StoreCall>(&command))
                world_.store_.call(std::move(call->request_), [this, id = call->call_](ObjectAnswer answer) { tell(StoreAnswered { id, std::move(answer) }); });
            else if (const auto* item = std::get_if<RunItem>(&command))
                run(*item);
            else
                note(command);
        }
    }

    void run(const RunItem& item)
    {
        // The lease bounds each effect: past validUntil_ another node may have begun the item.
        const bool inTime = world_.clock_.now() < item.validUntil_;
        if (inTime) {
            std::cout << name_ << " runs " << item.customId_ << " under epoch " << item.epoch_ << "\n";
            world_.runs_.insert(item.customId_);
        }
        finished_.push_back({ item.run_, inTime ? RunOutcome::Done : RunOutcome::NotRun, R"({"letter":"written"})", {} });
    }

    // What a real program sends to its caller. TellAccepted, a hint to other hosts, is dropped: the lease's holder finds the job itself.
    void note(const JobCommand& command)
    {
        if (const auto* acknowledged = std::get_if<Acknowledge>(&command)) {
            std::cout << name_ << " acknowledges a job of " << acknowledged->items_ << " items: from now on it can't be lost\n";
            world_.acknowledged_ = true;
        } else if (const auto* begin = std::get_if<BeginCall>(&command)) {
            std::cout << name_ << ": the intent stands, the call may begin\n";
            world_.answers_[begin->ask_] = command;
        } else if (const auto* known = std::get_if<CallKnown>(&command)) {
            std::cout << name_ << ": the call ran before, its answer was " << known->status_ << " " << known->body_ << "\n";
            world_.answers_[known->ask_] = command;
        } else if (const auto* refused = std::get_if<CallRefused>(&command)) {
            std::cout << name_ << " refuses the call: " << refused->error_.message() << "\n";
            world_.answers_[refused->ask_] = command;
        } else if (const auto* page = std::get_if<ResultsPage>(&command)) {
            std::cout << page->lines_;
            world_.answers_[page->ask_] = command;
        }
    }

    std::string name_;
    World& world_;
    std::unique_ptr<JobCore> core_;
    std::vector<ItemFinished> finished_; // reported at the next tick, as from a real upstream
};

template <class Command>
const Command* answerTo(const World& world, AskId ask)
{
    const auto found = world.answers_.find(ask);
    return found == world.answers_.end() ? nullptr : std::get_if<Command>(&found->second);
}

CallAsked booking(AskId ask, const std::string& key) { return { ask, "clerks", "bookings", key, Fingerprint(5) }; }

bool hold(bool promise, const char* text)
{
    std::cout << (promise ? "held:   " : "BROKEN: ") << text << "\n";
    return promise;
}

} // namespace

int main()
{
    World world;
    Host first("first", NodeId(1), world);
    Host second("second", NodeId(2), world);
    const auto pass = [&](Duration time) {
        for (const TimePoint end = world.clock_.now() + time; world.clock_.now() < end;) {
            world.clock_.advance(step);
            world.store_.advanceTo(world.clock_.now());
            first.tick();
            second.tick();
        }
    };

    // 1. Leases. Membership says who should hold what; the object store says who does.
    first.tell(PartitionsAssigned { { PartitionId(0) }, {} });
    second.tell(PartitionsAssigned { {}, { PartitionId(0) } });
    pass(10s);
    bool held = hold(first.holdsLease() && !second.holdsLease(), "one node holds the lease");

    // 2. An at-most-once call: the intent is durable before the first byte, the outcome after; a resend meets it on any node.
    first.tell(booking(AskId(1), "deposit-7"));
    pass(1s);
    held &= hold(answerTo<BeginCall>(world, AskId(1)) != nullptr, "a new call begins");
    first.tell(CallFinished { AskId(1), RunState::Ran, 201, R"({"booked":true})" });
    pass(1s);
    second.tell(booking(AskId(2), "deposit-7"));
    pass(1s);
    held &= hold(answerTo<CallKnown>(world, AskId(2)) != nullptr, "a resend gets the recorded answer");

    // 3. A job of three items, one JSON line each.
    first.tell(UploadBegun { UploadId(1), "clerks", "letters", "monday", world.clock_.wallNow() + 1h, false });
    for (const char* name : { "anna", "ben", "carla" })
        first.tell(UploadBytes { UploadId(1), std::string(R"({"custom_id":")") + name + R"(","body":{"to":"a member"}})" + "\n" });
    first.tell(UploadEnded { UploadId(1) });
    for (int i = 0; i < 500 && !world.acknowledged_; ++i)
        pass(step);
    held &= hold(world.acknowledged_, "the job is acknowledged");

    // 4. The node dies inside a second call. Nobody knows whether that one ran, so it is never begun again.
    first.tell(booking(AskId(3), "deposit-8"));
    pass(200ms);
    held &= hold(answerTo<BeginCall>(world, AskId(3)) != nullptr, "another call begins");
    first.die();
    second.tell(booking(AskId(4), "deposit-8"));
    pass(1s);
    const auto* refused = answerTo<CallRefused>(world, AskId(4));
    held &= hold(refused && refused->ran_ == RunState::OutcomeUnknown, "a resend is refused, with the truth: outcome unknown");

    // 5. The lease lapses, the second node takes over under the next epoch and brings the job to its end.
    pass(30s);
    held &= hold(second.holdsLease(), "the lease has moved");
    second.tell(ResultsAsked { AskId(5), "clerks", jobIdOf("clerks", "letters", "monday"), 0 });
    pass(1s);
    const auto* page = answerTo<ResultsPage>(world, AskId(5));
    held &= hold(page && page->end_ && std::count(page->lines_.begin(), page->lines_.end(), '\n') == 3, "each item has one result");
    held &= hold(world.runs_.size() == 3, "each item ran");
    return held ? 0 : 1;
}
