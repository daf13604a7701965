// Read once, then held-open calls; after whatever goes wrong, read again.
#include "Follower.h"

#include <algorithm>

namespace jj {

namespace {

    Duration retryAfter(const FollowerTimes& times, std::uint32_t failures)
    {
        constexpr std::uint32_t mostDoublings = 8;
        return std::min<Duration>(times.longestRetry_, times.firstRetry_ * (1LL << std::min(failures, mostDoublings)));
    }

} // namespace

// ---- configuration

ConfigFollower::ConfigFollower(StoreLink& store, const Translation& translation, DecisionLog& log, FollowerTimes times, Applied applied, AskPeer askPeer)
    : store_(store)
    , translation_(translation)
    , log_(log)
    , times_(times)
    , applied_(std::move(applied))
    , askPeer_(std::move(askPeer))
{
}

void ConfigFollower::tick(TimePoint now)
{
    if (!busy_ && !passive_ && now >= nextAt_)
        seen_.isNone() ? read(now) : watch();
    const bool isBehind = peerVersion_ > version();
    const Duration patience = passive_ ? Duration::zero() : times_.behindBound_;
    if (isBehind && now - peerAheadSince_ >= patience && now - askedAt_ >= times_.askEvery_) {
        askedAt_ = now;
        askPeer_();
    }
}

void ConfigFollower::peerHas(std::uint64_t peerVersion, TimePoint now)
{
    if (peerVersion <= std::max(version(), peerVersion_))
        return;
    peerVersion_ = peerVersion;
    peerAheadSince_ = now;
    if (!passive_)
        return;
    askedAt_ = now;
    askPeer_();
}

void ConfigFollower::again(TimePoint now)
{
    nextAt_ = now + retryAfter(times_, failures_);
    ++failures_;
    seen_ = ObjectVersion::none();
    if (version() == 0)
        askPeer_();
}

void ConfigFollower::read(TimePoint /*now*/)
{
    busy_ = true;
    store_.once(ObjectCall::get(translation_.keys_.config_), [this](const ObjectAnswer& answer) {
        busy_ = false;
        const TimePoint at = SystemClock().now();
        if (!answer.ok())
            return again(at);
        failures_ = 0;
        seen_ = answer.version_;
        take(answer.value_, "store");
        nextAt_ = at;
    });
}

void ConfigFollower::watch()
{
    busy_ = true;
    store_.once(ObjectCall::changes(translation_.keys_.config_, seen_, times_.heldOpen_), [this](const ObjectAnswer& answer) {
        busy_ = false;
        const TimePoint at = SystemClock().now();
        if (!answer.ok())
            return again(at);
        failures_ = 0;
        for (const ObjectChange& change : answer.changes_) {
            if (change.kind_ == ChangeKind::Put && change.key_ == translation_.keys_.config_)
                take(change.value_, "store");
        }
        seen_ = answer.version_;
        nextAt_ = at;
        if (!passive_)
            watch();
    });
}

void ConfigFollower::take(std::string_view value, std::string_view source)
{
    auto config = translation_.readConfig_(value);
    if (!config) {
        log_.line("configUnreadable").with("source", source).with("error", config.error().message());
        return;
    }
    const std::uint64_t offered = config.value().version_;
    if (offered <= version()) {
        if (offered < version())
            log_.line("configOlderDropped").with("source", source).with("version", offered).with("inForce", version());
        return;
    }
    auto table = RouteTable::create(std::move(config.value()));
    if (!table) {
        log_.line("configRefused").with("source", source).with("version", offered).with("error", table.error().message());
        return;
    }
    log_.line("configApplied").with("source", source).with("version", offered).with("before", version()).with("routes", table.value().routes().size());
    table_ = std::make_shared<const RouteTable>(std::move(table.value()));
    value_ = value;
    applied_(table_);
}

// ---- engines

EngineFeed::EngineFeed(StoreLink& store, const Translation& translation, DecisionLog& log, FollowerTimes times, Duration grace, std::map<std::string, std::string> regions, Changed changed, Removed removed, AskPeer askPeer)
    : store_(store)
    , translation_(translation)
    , log_(log)
    , times_(times)
    , grace_(grace)
    , regions_(std::move(regions))
    , changed_(std::move(changed))
    , removed_(std::move(removed))
    , askPeer_(std::move(askPeer))
{
}

void EngineFeed::tick(TimePoint now)
{
    if (!busy_ && !passive_ && now >= nextAt_)
        seen_.isNone() ? list({}, now) : watch();
    std::vector<std::string> over;
    for (const auto& [key, known] : known_) {
        if (known.missingSince_ != neverTime && now - known.missingSince_ >= grace_)
            over.push_back(key);
    }
    for (const std::string& key : over)
        remove(key, "missingAfterOutage");
    const bool isBehind = peerVersion_ > newest_;
    const Duration patience = passive_ ? Duration::zero() : times_.behindBound_;
    if (!isBehind || now - peerAheadSince_ < patience || now - askedAt_ < times_.askEvery_)
        return;
    askedAt_ = now;
    if (passive_)
        return askPeer_();
    if (!listedOnce_)
        return;
    log_.line("enginesBehind").with("known", newest_).with("peer", peerVersion_);
    list({}, now);
}

void EngineFeed::peerHas(std::uint64_t version, TimePoint now)
{
    if (version <= std::max(newest_, peerVersion_))
        return;
    peerVersion_ = version;
    peerAheadSince_ = now;
    if (!passive_)
        return;
    askedAt_ = now;
    askPeer_();
}

void EngineFeed::again(TimePoint now)
{
    lostAt_ = now;
    nextAt_ = now + retryAfter(times_, failures_);
    ++failures_;
    seen_ = ObjectVersion::none();
}

void EngineFeed::list(std::string after, TimePoint /*now*/)
{
    busy_ = true;
    if (after.empty()) {
        listing_.clear();
        listedAt_ = ObjectVersion::none();
    }
    store_.once(ObjectCall::list(translation_.keys_.engines_, true, std::move(after)), [this, turn = ++turn_](const ObjectAnswer& answer) {
        if (turn != turn_)
            return;
        const TimePoint at = SystemClock().now();
        if (!answer.ok()) {
            busy_ = false;
            return again(at);
        }
        // Changes that happen between two pages are told again by the watch, which goes on from the first page.
        if (listedAt_.isNone())
            listedAt_ = answer.version_;
        for (const ObjectEntry& entry : answer.entries_) {
            listing_.insert(entry.key_);
            apply(entry.key_, entry.value_, entry.version_);
        }
        if (!answer.next_.empty())
            return list(answer.next_, at);
        std::vector<std::string> gone;
        for (const auto& [key, known] : known_) {
            if (!listing_.contains(key))
                gone.push_back(key);
        }
        const bool wasOut = lostAt_ != TimePoint() && at - lostAt_ < grace_ + times_.longestRetry_;
        // The list doesn't say when they went; peers that know less are told as of now.
        if (!gone.empty())
            newest_ = std::max(newest_, listedAt_.value());
        for (const std::string& key : gone)
            missing(key, at, wasOut ? grace_ : Duration::zero());
        busy_ = false;
        failures_ = 0;
        listedOnce_ = true;
        seen_ = listedAt_;
        nextAt_ = at;
        // A removal has no entry that could tell its version: what the peer had seen is in this list if the store was there by then.
        if (listedAt_.value() >= peerVersion_)
            newest_ = std::max(newest_, peerVersion_);
    });
}

void EngineFeed::watch()
{
    busy_ = true;
    store_.once(ObjectCall::changes(translation_.keys_.engines_, seen_, times_.heldOpen_), [this, turn = ++turn_](const ObjectAnswer& answer) {
        if (turn != turn_)
            return;
        busy_ = false;
        const TimePoint at = SystemClock().now();
        if (!answer.ok())
            return again(at);
        failures_ = 0;
        const bool wasOut = lostAt_ != TimePoint() && at - lostAt_ < grace_;
        for (const ObjectChange& change : answer.changes_) {
            newest_ = std::max(newest_, change.version_.value());
            if (change.kind_ == ChangeKind::Remove)
                missing(change.key_, at, wasOut ? grace_ : Duration::zero());
            else
                apply(change.key_, change.value_, change.version_);
        }
        seen_ = answer.version_;
        nextAt_ = at + (answer.changes_.empty() ? Duration::zero() : times_.betweenChanges_);
        if (!passive_ && answer.changes_.empty())
            watch();
    });
}

void EngineFeed::apply(const std::string& key, const std::string& value, ObjectVersion version)
{
    const auto entry = translation_.readEngine_(key, value, regions_);
    if (!entry) {
        // An entry that can't be read names no engine; the one that it replaced is not used any more either.
        log_.line("engineUnreadable").with("key", key).with("version", version.value()).with("error", entry.error().message());
        return remove(key, "unreadable");
    }
    newest_ = std::max(newest_, version.value());
    const auto found = known_.find(key);
    if (found != known_.end() && found->second.entry_.id_ != entry.value().id_)
        remove(key, "replaced");
    const auto [place, isNew] = known_.try_emplace(key);
    place->second.missingSince_ = neverTime;
    place->second.value_ = value;
    place->second.version_ = version;
    if (!isNew && place->second.entry_ == entry.value())
        return;
    place->second.entry_ = entry.value();
    const EngineEntry& engine = entry.value();
    log_.line("engineChanged").with("engine", engine.name_).with("service", engine.service_).with("at", toString(engine.at_)).with("draining", engine.draining_ ? "yes" : "no").with("slots", engine.slots_).with("version", version.value());
    changed_(engine);
}

void EngineFeed::missing(const std::string& key, TimePoint now, Duration grace)
{
    const auto found = known_.find(key);
    if (found == known_.end())
        return;
    if (grace == Duration::zero())
        return remove(key, "gone");
    if (found->second.missingSince_ == neverTime)
        found->second.missingSince_ = now;
}

void EngineFeed::remove(const std::string& key, std::string_view why)
{
    const auto found = known_.find(key);
    if (found == known_.end())
        return;
    const EngineEntry entry = found->second.entry_;
    known_.erase(found);
    noteRemoval(key);
    log_.line("engineRemoved").with("engine", entry.name_).with("at", toString(entry.at_)).with("why", why);
    removed_(entry);
}

// ---- news for peers

void EngineFeed::noteRemoval(const std::string& key)
{
    constexpr std::size_t mostRemovals = 512;
    removals_.push_back({ newest_, key });
    if (removals_.size() <= mostRemovals)
        return;
    removalsSince_ = removals_.front().first;
    removals_.pop_front();
}

EngineNews EngineFeed::newsSince(std::uint64_t since) const
{
    EngineNews news;
    if (!listedOnce_)
        return news;
    news.version_ = newest_;
    news.isWhole_ = since <= removalsSince_;
    for (const auto& [key, known] : known_) {
        const bool isNews = news.isWhole_ || known.version_.value() > since;
        if (isNews && known.missingSince_ == neverTime)
            news.entries_.push_back({ key, known.version_, known.value_.size(), known.value_ });
    }
    if (news.isWhole_)
        return news;
    for (const auto& [version, key] : removals_) {
        if (version > since && !known_.contains(key))
            news.removed_.push_back(key);
    }
    return news;
}

// Changes that this node knows already are newer than what a peer says of the same entry.
void EngineFeed::take(const EngineNews& news)
{
    if (news.version_ == 0 || news.version_ <= newest_)
        return;
    const std::uint64_t before = newest_;
    newest_ = news.version_;
    std::set<std::string> named;
    for (const ObjectEntry& entry : news.entries_) {
        named.insert(entry.key_);
        const auto found = known_.find(entry.key_);
        if (found == known_.end() || found->second.version_ < entry.version_)
            apply(entry.key_, entry.value_, entry.version_);
    }
    for (const std::string& key : news.removed_)
        remove(key, "goneByPeer");
    if (news.isWhole_) {
        std::vector<std::string> gone;
        for (const auto& [key, known] : known_) {
            if (!named.contains(key) && known.version_.value() <= news.version_)
                gone.push_back(key);
        }
        for (const std::string& key : gone)
            remove(key, "goneByPeer");
    }
    listedOnce_ = true;
    log_.line("enginesByPeer").with("before", before).with("version", newest_).with("changed", news.entries_.size()).with("removed", news.removed_.size());
}

} // namespace jj
