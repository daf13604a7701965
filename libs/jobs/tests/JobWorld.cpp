// The driver of the jobs' tests.
#include "JobWorld.h"

#include "jobs/ChunkCodec.h"

namespace jj {

JobSettings quickSettings()
{
    JobSettings settings;
    settings.partitions_ = 2;
    settings.leaseTime_ = 4s;
    settings.leaseMargin_ = 400ms;
    settings.renewEvery_ = 1s;
    settings.chunkItems_ = 4;
    settings.window_ = 8;
    settings.commitEvery_ = 200ms;
    settings.discoverEvery_ = 1s;
    settings.ledgerCheck_ = 1s;
    settings.firstBackoff_ = 100ms;
    settings.longestBackoff_ = 1s;
    settings.calls_.budget_.rampTime_ = 3s;
    return settings;
}

WorldOptions quickOptions(std::uint32_t nodes)
{
    WorldOptions options;
    options.nodes_ = nodes;
    options.settings_ = quickSettings();
    return options;
}

JobWorld::JobWorld(WorldOptions options)
    : options_(std::move(options))
    , store_(options_.seed_)
    , nodes_(options_.nodes_)
{
    store_.core().setRates(0, 0);
    for (std::uint32_t node = 0; node < nodes_.size(); ++node)
        start(node);
}

void JobWorld::start(std::uint32_t node)
{
    Node& entry = nodes_[node];
    const std::uint64_t incarnation = entry.incarnation_ + 1;
    entry = Node {};
    entry.incarnation_ = incarnation;
    Result<std::unique_ptr<JobCore>> core = JobCore::create({ options_.settings_, idOf(node), Incarnation(incarnation), options_.seed_ * 31 + node * 7 + incarnation });
    entry.core_ = std::move(core.value());
    // Partitions are owned round robin and every node stands by for the others'.
    PartitionsAssigned assigned;
    for (std::uint32_t partition = 0; partition < options_.settings_.partitions_; ++partition)
        (partition % nodes_.size() == node ? assigned.owned_ : assigned.standby_).push_back(PartitionId(partition));
    handle(node, assigned);
}

void JobWorld::kill(std::uint32_t node)
{
    const std::uint64_t incarnation = nodes_[node].incarnation_;
    nodes_[node] = Node {};
    nodes_[node].incarnation_ = incarnation;
}

void JobWorld::setClockRate(std::uint32_t node, double rate)
{
    Node& entry = nodes_[node];
    entry.clockShown_ = clockOf(entry);
    entry.clockSetAt_ = now();
    entry.clockRate_ = rate;
}

std::string JobWorld::keyOwnedBy(std::uint32_t node) const
{
    for (std::uint32_t i = 0;; ++i) {
        std::string key = "job-" + std::to_string(i);
        if (partitionOf(jobOf(key), options_.settings_.partitions_).value() % nodes_.size() == node)
            return key;
    }
}

void JobWorld::wake(std::uint32_t node)
{
    Node& entry = nodes_[node];
    if (!entry.paused_)
        return;
    entry.paused_ = false;
    // What was decided before the pause takes effect first, late as it is; then everything that came in between.
    for (JobCommand& command : std::exchange(entry.held_, {}))
        obey(node, std::move(command));
    for (JobEvent& event : std::exchange(entry.inbox_, {}))
        handle(node, std::move(event));
}

void JobWorld::handle(std::uint32_t node, JobEvent event)
{
    Node& entry = nodes_[node];
    if (!entry.core_)
        return;
    if (entry.paused_) {
        entry.inbox_.push_back(std::move(event));
        return;
    }
    entry.core_->handle(std::move(event), clockOf(entry), wall());
    obey(node);
}

void JobWorld::obey(std::uint32_t node)
{
    for (JobCommand& command : nodes_[node].core_->take()) {
        Node& entry = nodes_[node];
        if (!entry.core_)
            return;
        if (!entry.paused_ && entry.pauseBefore_ && entry.pauseBefore_(command)) {
            entry.pauseBefore_ = nullptr;
            entry.paused_ = true;
        }
        if (entry.paused_)
            entry.held_.push_back(std::move(command));
        else
            obey(node, std::move(command));
    }
}

void JobWorld::obey(std::uint32_t node, JobCommand command)
{
    if (auto* call = std::get_if<StoreCall>(&command)) {
        const Fate fate = fate_ ? fate_(node, call->request_) : Fate::Goes;
        if (fate == Fate::KilledBefore)
            return kill(node);
        if (fate == Fate::AnswerLost)
            store_.loseNextAnswer();
        if (fate == Fate::CallLost)
            store_.loseNextCall();
        const std::uint64_t incarnation = nodes_[node].incarnation_;
        store_.call(std::move(call->request_), [this, node, incarnation, fate, id = call->call_](ObjectAnswer answer) {
            if (!nodes_[node].core_ || nodes_[node].incarnation_ != incarnation)
                return;
            handle(node, StoreAnswered { id, std::move(answer) });
            if (fate == Fate::KilledAfter)
                kill(node);
        });
        if (fate == Fate::KilledWithin)
            kill(node);
    } else if (const auto* run = std::get_if<RunItem>(&command)) {
        runItem(node, *run);
    } else if (const auto* cancel = std::get_if<CancelItem>(&command)) {
        std::erase_if(nodes_[node].runs_, [cancel](const auto& entry) { return entry.second.run_ == cancel->run_; });
    } else if (const auto* tell = std::get_if<TellCancel>(&command)) {
        message(tell->to_, CancelTold { idOf(node), tell->job_ });
    } else if (const auto* stopped = std::get_if<TellStopped>(&command)) {
        message(stopped->to_, HolderStopped { stopped->job_, stopped->epoch_ });
    } else if (const auto* accepted = std::get_if<TellAccepted>(&command)) {
        for (std::uint32_t other = 0; other < nodes_.size(); ++other)
            message(idOf(other), JobHinted { accepted->job_ });
    } else {
        note(command);
    }
}

void JobWorld::note(const JobCommand& command)
{
    if (const auto* acknowledged = std::get_if<Acknowledge>(&command))
        events_.emplace_back(JobAcknowledged { acknowledged->job_, acknowledged->items_ });
    if (const auto* cancelled = std::get_if<CancelAcknowledged>(&command))
        events_.emplace_back(CancelWasAcknowledged { cancelled->job_, wall() });
    seen_.push_back(command);
}

void JobWorld::message(NodeId to, JobEvent event)
{
    if (!messagesCut_)
        mail_.emplace(now() + 1ms, std::make_pair(to, std::move(event)));
}

void JobWorld::runItem(std::uint32_t node, const RunItem& run)
{
    if (clockOf(nodes_[node]) >= run.validUntil_) {
        nodes_[node].inbox_.push_back(ItemFinished { run.run_, RunOutcome::NotRun, {}, {} });
        return;
    }
    ++starts_;
    ++itemStarts_[{ run.job_, run.item_.value() }];
    events_.emplace_back(ItemStarted { run.job_, run.item_, wall() });
    if (run.atMostOnce_)
        events_.emplace_back(KeyExecuted { run.idempotencyKey_, 1 });
    nodes_[node].runs_.emplace(now() + options_.itemTime_, run);
}

void JobWorld::finishItems(std::uint32_t node)
{
    while (nodes_[node].core_ && !nodes_[node].runs_.empty() && nodes_[node].runs_.begin()->first <= now()) {
        const RunItem run = nodes_[node].runs_.begin()->second;
        nodes_[node].runs_.erase(nodes_[node].runs_.begin());
        // The answer tells who ran the item, so that two results of one item differ.
        const std::string body = "{\"by\":" + std::to_string(node) + ",\"run\":" + std::to_string(starts_) + "}";
        handle(node, ItemFinished { run.run_, options_.outcome_(run), body, {} });
    }
}

void JobWorld::run(Duration time)
{
    const TimePoint end = now() + time;
    while (now() < end) {
        store_.advanceTo(now() + options_.step_);
        while (!mail_.empty() && mail_.begin()->first <= now()) {
            auto [to, event] = std::move(mail_.begin()->second);
            mail_.erase(mail_.begin());
            handle(static_cast<std::uint32_t>(to.value() - 100), std::move(event));
        }
        for (std::uint32_t node = 0; node < nodes_.size(); ++node) {
            if (!nodes_[node].core_ || nodes_[node].paused_)
                continue;
            for (JobEvent& event : std::exchange(nodes_[node].inbox_, {}))
                handle(node, std::move(event));
            finishItems(node);
            if (!nodes_[node].core_ || nodes_[node].paused_)
                continue;
            nodes_[node].core_->tick(clockOf(nodes_[node]), wall());
            obey(node);
        }
    }
}

bool JobWorld::runUntil(const std::function<bool()>& condition, Duration bound)
{
    const TimePoint end = now() + bound;
    while (!condition()) {
        if (now() >= end)
            return false;
        run(options_.step_);
    }
    return true;
}

void JobWorld::send(std::uint32_t node, JobEvent event) { handle(node, std::move(event)); }

std::string JobWorld::lines(std::uint32_t items, std::uint32_t from)
{
    std::string text;
    for (std::uint32_t i = from; i < from + items; ++i)
        text += "{\"custom_id\":\"item-" + std::to_string(i) + "\",\"body\":{\"n\":" + std::to_string(i) + "}}\n";
    return text;
}

void JobWorld::upload(std::uint32_t node, std::uint64_t upload, const std::string& text, const std::string& key, bool atMostOnce, Duration deadline)
{
    const WallTime due = wall() + std::chrono::duration_cast<std::chrono::milliseconds>(deadline);
    handle(node, UploadBegun { UploadId(upload), "clerks", "letters", key, due, atMostOnce });
    handle(node, UploadBytes { UploadId(upload), text });
    handle(node, UploadEnded { UploadId(upload) });
}

std::vector<std::string> JobWorld::readAll(std::uint32_t node, JobId job)
{
    std::vector<std::string> lines;
    std::uint32_t cursor = 0;
    for (int page = 0; page < 10'000; ++page) {
        const std::uint64_t ask = nextAsk_++;
        handle(node, ResultsAsked { AskId(ask), "clerks", job, cursor });
        runUntil([&] { return seen<ResultsPage>(ask) || seen<AskRefused>(ask); }, 10s);
        const ResultsPage* found = seen<ResultsPage>(ask);
        if (!found)
            break;
        for (const std::string_view line : splitLines(found->lines_))
            lines.emplace_back(line);
        if (found->end_ || found->next_ == cursor)
            break;
        cursor = found->next_;
    }
    return lines;
}

std::optional<Ledger> JobWorld::ledger(JobId job)
{
    const auto& objects = store_.core().objects();
    const auto found = objects.find(ledgerKey(partitionOf(job, options_.settings_.partitions_), job));
    if (found == objects.end())
        return std::nullopt;
    const Result<Ledger> ledger = Ledger::decode(found->second.value_);
    return ledger ? std::optional(ledger.value()) : std::nullopt;
}

bool JobWorld::anyUnder(std::string_view prefix)
{
    const auto& objects = store_.core().objects();
    const auto found = objects.lower_bound(prefix);
    return found != objects.end() && found->first.starts_with(prefix);
}

bool JobWorld::isEnded(JobId job)
{
    const std::optional<Ledger> found = ledger(job);
    return found && found->isEnded();
}

std::uint32_t JobWorld::holderOf(JobId job)
{
    const auto& objects = store_.core().objects();
    const auto found = objects.find(leaseKey(partitionOf(job, options_.settings_.partitions_)));
    const Result<Lease> lease = found == objects.end() ? Result<Lease>(JobError::BadRecord) : Lease::decode(found->second.value_);
    return lease && !lease.value().holder_.isNone() ? static_cast<std::uint32_t>(lease.value().holder_.value() - 100) : static_cast<std::uint32_t>(nodes_.size());
}

std::uint32_t JobWorld::startsOf(JobId job, std::uint32_t item) const
{
    const auto found = itemStarts_.find({ job, item });
    return found == itemStarts_.end() ? 0 : found->second;
}

std::string JobWorld::firstFinding(bool finished)
{
    const AuditReport report = check(finished);
    return report.findings_.empty() ? std::string() : std::string(toString(report.findings_[0].kind_)) + " " + report.findings_[0].detail_;
}

AuditReport JobWorld::check(bool finished)
{
    AuditInput input;
    input.events_ = events_;
    for (const auto& [key, count] : executions_)
        input.events_.emplace_back(KeyExecuted { key, count });
    for (const auto& [key, entry] : store_.core().objects())
        input.objects_.push_back(entry);
    input.partitions_ = options_.settings_.partitions_;
    return finished ? auditFinished(input) : audit(input);
}

const RefuseUpload* refused(JobWorld& world, std::uint64_t upload)
{
    world.runUntil([&] { return world.seen<RefuseUpload>(upload) || world.seen<Acknowledge>(upload); }, 30s);
    return world.seen<RefuseUpload>(upload);
}

} // namespace jj
