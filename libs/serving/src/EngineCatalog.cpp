// What changes bring in, and what news between nodes carry out.
#include "EngineCatalog.h"

#include <algorithm>

namespace jj {

EngineCatalog::EngineCatalog(const Translation& translation, DecisionLog& log, std::map<std::string, std::string> regions, Changed changed, Removed removed)
    : translation_(translation)
    , log_(log)
    , regions_(std::move(regions))
    , changed_(std::move(changed))
    , removed_(std::move(removed))
{
}

// ---- from the store

// An answer that was long under way may be older than what a peer has told since.
bool EngineCatalog::isOlder(const std::string& key, ObjectVersion version) const
{
    const auto found = known_.find(key);
    return found != known_.end() && version < found->second.version_;
}

void EngineCatalog::put(const std::string& key, const std::string& value, ObjectVersion version)
{
    if (isOlder(key, version))
        return;
    const auto entry = translation_.readEngine_(key, value, regions_);
    if (!entry) {
        // An entry that can't be read names no engine; the one that it replaced is not used any more either.
        log_.line("engineUnreadable").with("key", key).with("version", version.value()).with("error", entry.error().message());
        return remove(key, version, "unreadable");
    }
    const auto found = known_.find(key);
    if (found != known_.end() && found->second.entry_.id_ != entry.value().id_)
        remove(key, version, "replaced");
    const auto [place, isNew] = known_.try_emplace(key);
    Known& known = place->second;
    if (known.missingVersion_ < version)
        known.goneAt_ = neverTime;
    known.value_ = value;
    known.version_ = version;
    if (!isNew && known.entry_ == entry.value())
        return;
    known.entry_ = entry.value();
    const EngineEntry& engine = entry.value();
    log_.line("engineChanged").with("engine", engine.name_).with("service", engine.service_).with("at", toString(engine.at_)).with("draining", engine.draining_ ? "yes" : "no").with("slots", engine.slots_).with("version", version.value());
    changed_(engine);
}

void EngineCatalog::gone(const std::string& key, ObjectVersion version, TimePoint now, Duration grace)
{
    knowsUpTo(version.value());
    if (isOlder(key, version))
        return;
    // Nothing is held of what isn't known here, and peers that know it have to hear of its end.
    if (grace == Duration::zero() || !known_.contains(key))
        return remove(key, version, "gone");
    miss(key, version, now + grace);
}

// An answer that is older than what this node knows by its peers may name an engine that is gone since.
void EngineCatalog::putAnswered(const std::string& key, const std::string& value, ObjectVersion version, ObjectVersion answeredAt)
{
    const bool isGoneSince = !known_.contains(key) && version.value() <= newest_ && answeredAt.value() < newest_;
    if (!isGoneSince)
        put(key, value, version);
}

void EngineCatalog::follow(const std::vector<ObjectChange>& changes, ObjectVersion version, TimePoint now, Duration grace)
{
    for (const ObjectChange& change : changes) {
        if (change.kind_ != ChangeKind::Remove)
            putAnswered(change.key_, change.value_, change.version_, version);
        else
            gone(change.key_, change.version_, now, grace);
        knowsUpTo(change.version_.value());
    }
    answeredUpTo_ = std::max(answeredUpTo_, version.value());
}

void EngineCatalog::list(const std::vector<ObjectEntry>& entries, PageVersions versions, TimePoint now, Duration grace)
{
    const ObjectVersion version = versions.first_;
    const std::uint64_t before = newest_;
    std::uint64_t newestEntry = 0;
    std::set<std::string> keys;
    for (const ObjectEntry& entry : entries) {
        // Changed between two pages. What else had changed by then isn't known, so it waits for the update that names all of it.
        if (entry.version_ > version)
            continue;
        keys.insert(entry.key_);
        newestEntry = std::max(newestEntry, entry.version_.value());
        putAnswered(entry.key_, entry.value_, entry.version_, version);
    }
    knowsUpTo(newestEntry);
    std::vector<std::string> missing;
    for (const auto& [key, known] : known_) {
        if (!keys.contains(key))
            missing.push_back(key);
    }
    // The list doesn't say when they went; peers that know less are told as of the list.
    for (const std::string& key : missing)
        gone(key, version, now, grace);
    removals_.skip({ before, versions.last_.value() });
    answeredUpTo_ = std::max(answeredUpTo_, version.value());
    isKnown_ = true;
}

void EngineCatalog::miss(const std::string& key, ObjectVersion version, TimePoint goneAt)
{
    const auto found = known_.find(key);
    if (found == known_.end())
        return;
    Known& known = found->second;
    if (known.isMissing() && known.goneAt_ <= goneAt)
        return;
    known.goneAt_ = goneAt;
    known.missingVersion_ = version;
    log_.line("engineMissing").with("engine", known.entry_.name_).with("at", toString(known.entry_.at_)).with("version", version.value());
}

void EngineCatalog::tick(TimePoint now)
{
    std::vector<std::string> over;
    for (const auto& [key, known] : known_) {
        if (known.isMissing() && known.goneAt_ <= now)
            over.push_back(key);
    }
    for (const std::string& key : over)
        remove(key, ObjectVersion(newest_), "missingAfterOutage");
}

void EngineCatalog::remove(const std::string& key, ObjectVersion version, std::string_view why)
{
    // Failure met: an engine came and left between two news that a node heard, so the node never knew it, and told nobody of the removal; a peer
    // that knew the engine asked this node and used it until it exited. So a removal is passed on also of what was never here.
    removals_.add(std::max(newest_, version.value()), key);
    const auto found = known_.find(key);
    if (found == known_.end())
        return;
    const EngineEntry entry = found->second.entry_;
    known_.erase(found);
    log_.line("engineRemoved").with("engine", entry.name_).with("at", toString(entry.at_)).with("why", why).with("version", version.value());
    removed_(entry);
}

void EngineCatalog::forEach(const std::function<void(const EngineEntry&)>& visit) const
{
    for (const auto& [key, known] : known_)
        visit(known.entry_);
}

// ---- between nodes

void EngineCatalog::knowsUpTo(std::uint64_t version) { newest_ = std::max(newest_, version); }

bool EngineCatalog::knowsAsMuch(std::uint64_t version)
{
    if (version <= answeredUpTo_)
        knowsUpTo(version);
    return version <= newest_;
}

EngineNews EngineCatalog::newsSince(std::uint64_t since, TimePoint now) const
{
    EngineNews news;
    if (!isKnown_)
        return news;
    news.version_ = newest_;
    news.isWhole_ = !removals_.covers(since);
    news.gaps_ = removals_.gapsSince(since);
    for (const auto& [key, known] : known_) {
        if (known.version_.value() <= since)
            news.unchanged_.push_back(key);
        else
            news.entries_.push_back({ key, known.version_, known.value_.size(), known.value_ });
        if (known.isMissing() && (news.isWhole_ || known.missingVersion_.value() > since))
            news.missing_.push_back({ key, known.missingVersion_, std::max(Duration::zero(), known.goneAt_ - now) });
    }
    if (news.isWhole_)
        return news;
    news.unchanged_.clear();
    news.removed_ = removals_.keysSince(since);
    std::erase_if(news.removed_, [this](const std::string& key) { return known_.contains(key); });
    return news;
}

void EngineCatalog::removeUnnamed(const std::set<std::string>& named, ObjectVersion upTo)
{
    std::vector<std::string> unnamed;
    for (const auto& [key, known] : known_) {
        if (!named.contains(key) && known.version_ <= upTo)
            unnamed.push_back(key);
    }
    for (const std::string& key : unnamed)
        remove(key, upTo, "goneByPeer");
}

void EngineCatalog::take(const EngineNews& news, std::string_view peer, TimePoint now)
{
    if (news.version_ == 0 || knowsAsMuch(news.version_))
        return;
    const std::uint64_t before = newest_;
    // This node has moved on since it asked, and the answer isn't complete from here; it asks again.
    if (!news.isWhole_ && std::any_of(news.gaps_.begin(), news.gaps_.end(), [before](const VersionGap& gap) { return gap.contains(before); }))
        return;
    knowsUpTo(news.version_);
    std::set<std::string> named(news.unchanged_.begin(), news.unchanged_.end());
    for (const ObjectEntry& entry : news.entries_) {
        named.insert(entry.key_);
        put(entry.key_, entry.value_, entry.version_);
    }
    for (const std::string& key : news.removed_)
        remove(key, ObjectVersion(news.version_), "goneByPeer");
    if (news.isWhole_) {
        removeUnnamed(named, ObjectVersion(news.version_));
        removals_.skip({ before, news.version_ });
    }
    for (const VersionGap& gap : news.gaps_)
        removals_.skip(gap);
    for (const MissingEngine& missing : news.missing_) {
        if (!isOlder(missing.key_, missing.version_))
            miss(missing.key_, missing.version_, now + missing.goneIn_);
        else if (news.isWhole_)
            remove(missing.key_, ObjectVersion(news.version_), "goneByPeer"); // it registered again and went, unseen by the peer
    }
    isKnown_ = true;
    log_.line("enginesByPeer").with("peer", peer).with("whole", news.isWhole_ ? "yes" : "no").with("before", before).with("version", newest_).with("changed", news.entries_.size()).with("removed", news.removed_.size()).with("missing", news.missing_.size());
}

} // namespace jj
