// Changes from the store and from peers, and updates for peers.
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

// An answer that was long under way may be older than a peer's update.
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
    // The list doesn't say when they went, so they count as removed at its version.
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
    // Also of an engine that was never known here: a peer may know it.
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

EngineUpdate EngineCatalog::updateSince(std::uint64_t since, TimePoint now) const
{
    EngineUpdate update;
    if (!isKnown_)
        return update;
    update.version_ = newest_;
    update.isWhole_ = !removals_.covers(since);
    update.gaps_ = removals_.gapsSince(since);
    for (const auto& [key, known] : known_) {
        if (known.version_.value() <= since)
            update.unchanged_.push_back(key);
        else
            update.entries_.push_back({ key, known.version_, known.value_.size(), known.value_ });
        if (known.isMissing() && (update.isWhole_ || known.missingVersion_.value() > since))
            update.missing_.push_back({ key, known.missingVersion_, std::max(Duration::zero(), known.goneAt_ - now) });
    }
    if (update.isWhole_)
        return update;
    update.unchanged_.clear();
    update.removed_ = removals_.keysSince(since);
    std::erase_if(update.removed_, [this](const std::string& key) { return known_.contains(key); });
    return update;
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

void EngineCatalog::take(const EngineUpdate& update, std::string_view peer, TimePoint now)
{
    if (update.version_ == 0 || knowsAsMuch(update.version_))
        return;
    const std::uint64_t before = newest_;
    // This node has moved on since it asked, and the answer isn't complete from here; it asks again.
    if (!update.isWhole_ && std::any_of(update.gaps_.begin(), update.gaps_.end(), [before](const VersionGap& gap) { return gap.contains(before); }))
        return;
    knowsUpTo(update.version_);
    std::set<std::string> named(update.unchanged_.begin(), update.unchanged_.end());
    for (const ObjectEntry& entry : update.entries_) {
        named.insert(entry.key_);
        put(entry.key_, entry.value_, entry.version_);
    }
    for (const std::string& key : update.removed_)
        remove(key, ObjectVersion(update.version_), "goneByPeer");
    if (update.isWhole_) {
        removeUnnamed(named, ObjectVersion(update.version_));
        removals_.skip({ before, update.version_ });
    }
    for (const VersionGap& gap : update.gaps_)
        removals_.skip(gap);
    for (const MissingEngine& missing : update.missing_) {
        if (!isOlder(missing.key_, missing.version_))
            miss(missing.key_, missing.version_, now + missing.goneIn_);
        else if (update.isWhole_)
            remove(missing.key_, ObjectVersion(update.version_), "goneByPeer"); // it registered again and went, unseen by the peer
    }
    isKnown_ = true;
    log_.line("enginesByPeer").with("peer", peer).with("whole", update.isWhole_ ? "yes" : "no").with("before", before).with("version", newest_).with("changed", update.entries_.size()).with("removed", update.removed_.size()).with("missing", update.missing_.size());
}

} // namespace jj
