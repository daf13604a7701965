// Logs each crash with its suspects, each verdict with the engines that speak for it, and each contradiction.
#include "CrashWatch.h"

#include "Statuses.h"
#include "base/Hash.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace jj {

namespace {

    constexpr Duration confirmationBound = 250ms;
    constexpr Duration repeatPeriod = 1s;
    // With two receivers a second from each host, a host that has just joined has the records within a few seconds.
    constexpr std::size_t repeatReceivers = 2;
    // Of all hosts, about as many send their records to a host that has just started.
    constexpr std::size_t sendersToStarted = 8;
    // Many hosts may contradict the same record.
    constexpr Duration contradictionPeriod = 1s;
    // Further parts of a prompt are ignored.
    constexpr std::size_t maxParts = 64;

    Fingerprint contentOf(std::string_view host, std::string_view target, std::string_view body) { return Fingerprint(hash64(body, hash64(target, hash64(host)))); }

    std::string joined(const std::vector<Fingerprint>& suspects)
    {
        constexpr std::size_t maxNames = 10;
        std::string names;
        for (std::size_t index = 0; index < std::min(suspects.size(), maxNames); ++index)
            names.append(index > 0 ? "," : "").append(suspectName(suspects[index]));
        return names;
    }

} // namespace

std::string suspectName(Fingerprint suspect)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%llx", static_cast<unsigned long long>(suspect.value()));
    return text.data();
}

CrashWatch::CrashWatch(Context& context, std::uint64_t seed, StoreCalls store)
    : context_(context)
    , verdicts_(suspects_, seed, context.settings_.isFirstStart_, verdictOutlets(std::move(store)))
    , random_(seed)
{
}

VerdictStoreOutlets CrashWatch::verdictOutlets(StoreCalls store)
{
    VerdictStoreOutlets outlets;
    outlets.store_ = std::move(store);
    outlets.wallNow_ = [] { return SystemClock().wallNow(); };
    outlets.isKeeper_ = [this](Fingerprint suspect) { return isKeeper(suspect); };
    outlets.note_ = [this](VerdictNote note, std::string_view key, std::error_code error) { logVerdict(note, key, error); };
    return outlets;
}

RequestFingerprints CrashWatch::fingerprintsOf(const http::Request& request) const
{
    return fingerprintsOf(joinedValues(request.headers_, context_.translation_.headers_.promptParts_), contentOf(request.headers_.find("Host"), request.target_, request.body_));
}

RequestFingerprints CrashWatch::fingerprintsOf(const ItemRun& item) const
{
    return fingerprintsOf(joinedValues(item.headers_, context_.translation_.headers_.promptParts_), Fingerprint::none());
}

RequestFingerprints CrashWatch::fingerprintsOf(std::string_view promptParts, Fingerprint content) const
{
    RequestFingerprints fingerprints { context_.translation_.parseSharedParts_(promptParts), content };
    fingerprints.parts_.resize(std::min(fingerprints.parts_.size(), maxParts));
    return fingerprints;
}

// ---- runs

void CrashWatch::recordLoss(const RequestFingerprints& request, UpstreamId engine, LossPoint point)
{
    suspects_.lost(request, engine, point, context_.now());
    if (mustSettle(request, point))
        confirmCrash(engine);
}

LossPoint CrashWatch::lossPoint(const std::optional<TimePoint>& firstEventAt) const
{
    return firstEventAt && context_.now() - *firstEventAt >= provenTime ? LossPoint::InAnswer : LossPoint::BeforeAnswer;
}

// An engine that refuses a prompt has not begun to write an answer to it, so a failure says nothing about its parts.
void CrashWatch::recordAnswer(const RequestFingerprints& request, int status)
{
    RequestFingerprints answered = request;
    if (status >= firstNonSuccess)
        answered.parts_.clear();
    const std::vector<Fingerprint> cleared = suspects_.recordAnswer(answered, context_.now());
    applyChanges(true);
    publish(cleared, NodeId::none());
}

void CrashWatch::recordBegun(const RequestFingerprints& request)
{
    const std::vector<Fingerprint> cleared = suspects_.recordBegun(request, context_.now());
    applyChanges(true);
    publish(cleared, NodeId::none());
}

bool CrashWatch::mustSettle(const RequestFingerprints& request, LossPoint point) const
{
    return point == LossPoint::BeforeAnswer && !suspects_.areAllPartsAnswered(request, context_.now());
}

// ---- engines

void CrashWatch::confirmCrash(UpstreamId engine)
{
    const EngineEntry* entry = context_.board_.find(engine);
    if (!entry || !confirming_.insert(engine).second)
        return;
    http::CallOptions options;
    options.idle_ = confirmationBound;
    options.total_ = confirmationBound;
    options.fresh_ = true;
    context_.engines_.fetch(entry->at_, { "GET", context_.translation_.engineHealthPath_, {}, {} }, options, [this, engine](const Result<http::Response>& response, RunState) {
        confirming_.erase(engine);
        if (!response && response.error() == http::Error::ConnectFailed)
            engineDown(engine);
    });
}

void CrashWatch::engineDown(UpstreamId engine)
{
    const std::vector<Fingerprint> suspects = suspects_.engineCrashed(engine, context_.now());
    if (suspects.empty())
        return;
    const EngineEntry* entry = context_.board_.find(engine);
    context_.log_.line("crashSuspected").with("engine", entry ? entry->name_ : suspectName(Fingerprint(engine.value()))).with("suspects", joined(suspects)).with("count", suspects.size());
    applyChanges(true);
    publish(suspects, NodeId::none());
}

// ---- decisions

CrashWatch::Verdict CrashWatch::judge(const RequestFingerprints& request)
{
    const auto blocked = suspects_.findBlocked(request, context_.now());
    return { blocked, blocked && (verdicts_.hasUnusedTrial(*blocked) || isOwnTrialDue(*blocked)) };
}

void CrashWatch::beginTrial(Fingerprint suspect)
{
    context_.log_.line("crashTrial").with("suspect", suspectName(suspect)).with("trial", suspects_.trials(suspect));
    publish({ suspect }, NodeId::none());
}

CrashWatch::Verdict CrashWatch::judgeItem(const RequestFingerprints& item)
{
    const auto blocked = suspects_.findBlocked(item, context_.now());
    return { blocked, blocked && suspects_.isItemTrialDue(*blocked, context_.now()) };
}

void CrashWatch::beginItemTrial(Fingerprint suspect)
{
    suspects_.recordItemTrial(suspect, context_.now());
    context_.log_.line("itemTrial").with("suspect", suspectName(suspect));
}

// Hosts take turns in the order of a hash. The first one that receives such a request sends it and announces the trial before the turn of the
// next host.
bool CrashWatch::isOwnTrialDue(Fingerprint suspect) const
{
    if (!suspects_.isTrialDue(suspect, 0, context_.now()) || !verdicts_.mayClaimTrial(suspect, context_.now()))
        return false;
    const std::uint64_t round = mixHash(suspect.value(), suspects_.trials(suspect));
    const std::uint64_t own = mixHash(round, context_.fleet_->self().value());
    const auto& peers = context_.fleet_->peers();
    const auto turn = std::count_if(peers.begin(), peers.end(), [&](const Peer& peer) { return peer.isLive() && mixHash(round, peer.node_.value()) < own; });
    return suspects_.isTrialDue(suspect, static_cast<std::size_t>(turn), context_.now());
}

// ---- other hosts

void CrashWatch::handle(const SuspectRecords& message)
{
    const TimePoint now = context_.now();
    std::vector<Fingerprint> contradicted;
    std::vector<Fingerprint> cleared;
    for (const SuspectRecord& record : message.records_) {
        const CrashSuspects::MergeResult result = suspects_.merge(record, now);
        if (result.contradicts_ && contradictedAt_.try_emplace(record.suspect_, now).second)
            contradicted.push_back(record.suspect_);
        if (result.isCleared_ && message.isReply_)
            cleared.push_back(record.suspect_);
    }
    publish(contradicted, message.from_, true);
    publish(cleared, NodeId::none());
    applyChanges(false);
}

void CrashWatch::publish(const std::vector<Fingerprint>& suspects, NodeId to, bool isReply)
{
    std::vector<SuspectRecord> records;
    for (const Fingerprint suspect : suspects) {
        records.push_back(suspects_.recordOf(suspect, context_.now()));
        if (records.size() == maxRecordsPerMessage)
            send(std::exchange(records, {}), to, isReply);
    }
    if (!records.empty())
        send(std::move(records), to, isReply);
}

void CrashWatch::send(std::vector<SuspectRecord> records, NodeId to, bool isReply)
{
    const SuspectRecords message { context_.fleet_->self(), isReply, std::move(records) };
    if (to.isNone())
        context_.fleet_->sendToAll(message);
    else
        context_.fleet_->send(to, message);
}

void CrashWatch::onNodeStarted(NodeId node)
{
    const std::size_t senders = std::max<std::size_t>(1, context_.fleet_->livePeers());
    if (!suspects_.hasBlocked() || random_() % senders >= sendersToStarted)
        return;
    send(suspects_.recordsToRepeat(context_.now()), node, false);
}

void CrashWatch::tick(TimePoint now)
{
    suspects_.tick(now);
    verdicts_.tick(now);
    std::erase_if(contradictedAt_, [now](const auto& entry) { return now - entry.second >= contradictionPeriod; });
    applyChanges(false);
    if (now - repeatedAt_ < repeatPeriod)
        return;
    repeatedAt_ = now;
    repeatRecords();
}

void CrashWatch::repeatRecords()
{
    const std::vector<SuspectRecord> records = suspects_.recordsToRepeat(context_.now());
    if (records.empty())
        return;
    std::vector<NodeId> live;
    for (const Peer& peer : context_.fleet_->peers()) {
        if (peer.isLive())
            live.push_back(peer.node_);
    }
    std::vector<NodeId> receivers;
    std::sample(live.begin(), live.end(), std::back_inserter(receivers), repeatReceivers, random_);
    for (const NodeId receiver : receivers)
        send(records, receiver, false);
}

// ---- verdicts

bool CrashWatch::isKeeper(Fingerprint suspect) const
{
    const std::uint64_t own = mixHash(suspect.value(), context_.fleet_->self().value());
    const auto& peers = context_.fleet_->peers();
    return std::none_of(peers.begin(), peers.end(), [&](const Peer& peer) { return peer.isLive() && mixHash(suspect.value(), peer.node_.value()) < own; });
}

void CrashWatch::applyChanges(bool isOwnEvidence)
{
    for (const VerdictChange& change : suspects_.takeChanges()) {
        logChange(change);
        verdicts_.onChange(change, isOwnEvidence, context_.now());
    }
}

void CrashWatch::logChange(const VerdictChange& change)
{
    std::string engines;
    for (const UpstreamId engine : change.engines_) {
        const EngineEntry* entry = context_.board_.find(engine);
        engines.append(engines.empty() ? "" : ",").append(entry ? entry->name_ : suspectName(Fingerprint(engine.value())));
    }
    context_.log_.line(change.isBlocked_ ? "suspectBlocked" : "suspectFreed").with("suspect", suspectName(change.suspect_)).with("kind", change.isContent_ ? "content" : "part").with("crashes", change.engines_.size()).with("engines", engines).with("trials", suspects_.trials(change.suspect_));
}

void CrashWatch::logVerdict(VerdictNote note, std::string_view key, std::error_code error)
{
    static constexpr std::string_view names[] = { "verdictStored", "verdictRemoved", "verdictRead", "verdictUnreadable", "verdictCallFailed", "trialNotCounted" };
    DecisionLog::Line entry = context_.log_.line(names[static_cast<std::size_t>(note)]);
    entry.with("key", key);
    if (error)
        entry.with("error", error.message());
}

} // namespace jj
