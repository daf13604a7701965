// Applies changes from the store and from peers, and builds updates for peers.
#include "EngineCatalog.h"

#include <algorithm>

namespace jj {

namespace {

    // Changes in a peer's update that are logged one by one. When 10,002 engines registered, each of 985 hosts logged each of them, and
    // the lines of all other decisions exceeded the limit of DecisionLog.
    constexpr std::size_t maxLoggedChanges = 16;

} // namespace

EngineCatalog::EngineCatalog(const Translation& translation, DecisionLog& log, std::map<std::string, std::string> regions, Changed changed, Removed removed)
    : translation_(translation)
    , log_(log)
    , regions_(std::move(regions))
    , changed_(std::move(changed))
    , removed_(std::move(removed))
{
}

DecisionLog::Line EngineCatalog::changeLine(std::string_view event) { return isApplyingLongUpdate_ ? DecisionLog::Line(nullptr, event) : log_.line(event); }

// ---- from the store

// Returns whether `version` is older than the entry that the catalog has. This happens when an answer of the store was delayed and a
// peer's update arrived first.
bool EngineCatalog::isOlder(const std::string& key, ObjectVersion version) const
{
    const auto found = engines_.find(key);
    return found != engines_.end() && version < found->second.version_;
}

void EngineCatalog::putValue(const std::string& key, const std::string& value, ObjectVersion version)
{
    if (isOlder(key, version))
        return;
    const auto engine = translation_.parseEngine_(key, value, regions_);
    if (engine)
        return put(key, engine.value(), version);
    // An unreadable entry names no engine, and the engine of the entry that it replaced is no longer used either.
    log_.line("engineUnreadable").with("key", key).with("version", version.value()).with("error", engine.error().message());
    remove(key, version, "unreadable");
}

void EngineCatalog::put(const std::string& key, const EngineEntry& engine, ObjectVersion version)
{
    if (isOlder(key, version))
        return;
    const auto found = engines_.find(key);
    if (found != engines_.end() && found->second.entry_.id_ != engine.id_)
        remove(key, version, "replaced");
    const auto [position, isNew] = engines_.try_emplace(key);
    KnownEngine& known = position->second;
    if (known.removalVersion_ < version)
        known.removeAt_ = neverTime;
    known.version_ = version;
    if (!isNew && known.entry_ == engine)
        return;
    known.entry_ = engine;
    changeLine("engineChanged").with("engine", engine.name_).with("service", engine.service_).with("at", toString(engine.at_)).with("draining", engine.draining_ ? "yes" : "no").with("slots", engine.slots_).with("software", engine.softwareVersion_.name()).with("version", version.value());
    changed_(engine);
}

void EngineCatalog::handleRemoval(const std::string& key, ObjectVersion version, TimePoint now, Duration grace)
{
    advanceTo(version.value());
    if (isOlder(key, version))
        return;
    // An unknown engine has nothing to retain, but its removal must be recorded for peers that know the engine.
    if (grace == Duration::zero() || !engines_.contains(key))
        return remove(key, version, "gone");
    markMissing(key, version, now + grace);
}

// Ignores an entry of an unknown engine if the entry isn't newer than version() and the answer is older: a peer's update may already
// have reported the engine's removal.
void EngineCatalog::putFromAnswer(const std::string& key, const std::string& value, ObjectVersion version, ObjectVersion answerVersion)
{
    const bool isRemovedSince = !engines_.contains(key) && version.value() <= appliedVersion_ && answerVersion.value() < appliedVersion_;
    if (!isRemovedSince)
        putValue(key, value, version);
}

void EngineCatalog::applyChanges(const std::vector<ObjectChange>& changes, ObjectVersion version, TimePoint now, Duration grace)
{
    for (const ObjectChange& change : changes) {
        if (change.kind_ != ChangeKind::Remove)
            putFromAnswer(change.key_, change.value_, change.version_, version);
        else
            handleRemoval(change.key_, change.version_, now, grace);
        advanceTo(change.version_.value());
    }
    answeredVersion_ = std::max(answeredVersion_, version.value());
}

void EngineCatalog::list(const std::vector<ObjectEntry>& entries, PageVersions versions, TimePoint now, Duration grace)
{
    const std::uint64_t before = appliedVersion_;
    const std::set<std::string> listed = putFromList(entries, versions.first_);
    // The list doesn't say when the missing engines were removed, so its own version is used as the version of their removal.
    for (const std::string& key : keysNotIn(listed))
        handleRemoval(key, versions.first_, now, grace);
    removals_.addGap({ before, versions.last_.value() });
    answeredVersion_ = std::max(answeredVersion_, versions.first_.value());
    isInitialized_ = true;
}

std::set<std::string> EngineCatalog::putFromList(const std::vector<ObjectEntry>& entries, ObjectVersion version)
{
    std::set<std::string> listed;
    std::uint64_t newest = 0;
    for (const ObjectEntry& entry : entries) {
        // This entry changed after the first page was read. Other changes up to its version are unknown, so it is left to the next
        // answer, which includes all of them.
        if (entry.version_ > version)
            continue;
        listed.insert(entry.key_);
        newest = std::max(newest, entry.version_.value());
        putFromAnswer(entry.key_, entry.value_, entry.version_, version);
    }
    advanceTo(newest);
    return listed;
}

std::vector<std::string> EngineCatalog::keysNotIn(const std::set<std::string>& named) const
{
    std::vector<std::string> others;
    for (const auto& [key, known] : engines_) {
        if (!named.contains(key))
            others.push_back(key);
    }
    return others;
}

void EngineCatalog::markMissing(const std::string& key, ObjectVersion version, TimePoint removeAt)
{
    const auto found = engines_.find(key);
    if (found == engines_.end())
        return;
    KnownEngine& known = found->second;
    if (known.isMissing() && known.removeAt_ <= removeAt)
        return;
    known.removeAt_ = removeAt;
    nextRemovalAt_ = std::min(nextRemovalAt_, removeAt);
    known.removalVersion_ = version;
    changeLine("engineMissing").with("engine", known.entry_.name_).with("at", toString(known.entry_.at_)).with("version", version.value());
}

void EngineCatalog::tick(TimePoint now)
{
    if (now < nextRemovalAt_)
        return;
    nextRemovalAt_ = neverTime;
    std::vector<std::string> expired;
    for (const auto& [key, known] : engines_) {
        if (known.removeAt_ <= now)
            expired.push_back(key);
        else
            nextRemovalAt_ = std::min(nextRemovalAt_, known.removeAt_);
    }
    for (const std::string& key : expired)
        remove(key, ObjectVersion(appliedVersion_), "missingAfterOutage");
}

void EngineCatalog::remove(const std::string& key, ObjectVersion version, std::string_view why)
{
    // The removal is recorded even if this node never knew the engine, because a peer may know it.
    removals_.add(std::max(appliedVersion_, version.value()), key);
    const auto found = engines_.find(key);
    if (found == engines_.end())
        return;
    const EngineEntry entry = found->second.entry_;
    engines_.erase(found);
    changeLine("engineRemoved").with("engine", entry.name_).with("at", toString(entry.at_)).with("why", why).with("version", version.value());
    removed_(entry);
}

void EngineCatalog::forEach(const std::function<void(const EngineEntry&)>& visit) const
{
    for (const auto& [key, known] : engines_)
        visit(known.entry_);
}

// ---- between nodes

void EngineCatalog::advanceTo(std::uint64_t version) { appliedVersion_ = std::max(appliedVersion_, version); }

bool EngineCatalog::tryAdvanceTo(std::uint64_t version)
{
    if (version <= answeredVersion_)
        advanceTo(version);
    return version <= appliedVersion_;
}

EngineUpdate EngineCatalog::updateSince(std::uint64_t since, TimePoint now) const
{
    EngineUpdate update;
    if (!isInitialized_)
        return update;
    update.version_ = appliedVersion_;
    update.isFullState_ = !removals_.isCompleteSince(since);
    update.gaps_ = removals_.gapsSince(since);
    for (const auto& [key, known] : engines_) {
        if (known.version_.value() <= since)
            update.unchanged_.push_back(key);
        else
            update.entries_.push_back({ key, known.version_, known.entry_ });
        if (known.isMissing() && (update.isFullState_ || known.removalVersion_.value() > since))
            update.missing_.push_back({ key, known.removalVersion_, std::max(Duration::zero(), known.removeAt_ - now) });
    }
    if (update.isFullState_)
        return update;
    update.unchanged_.clear();
    update.removed_ = removals_.keysSince(since);
    std::erase_if(update.removed_, [this](const std::string& key) { return engines_.contains(key); });
    return update;
}

// Returns whether `update` contains all changes since `version`, this node's current version. An update that isn't whole was built
// for the version in its request, and this node may since have advanced to a version inside a gap of the update.
bool EngineCatalog::isCompleteFrom(std::uint64_t version, const EngineUpdate& update)
{
    return update.isFullState_ || std::none_of(update.gaps_.begin(), update.gaps_.end(), [version](const VersionGap& gap) { return gap.contains(version); });
}

void EngineCatalog::applyUpdate(const EngineUpdate& update, std::string_view peer, TimePoint now)
{
    if (update.version_ == 0 || tryAdvanceTo(update.version_))
        return;
    const std::uint64_t before = appliedVersion_;
    if (!isCompleteFrom(before, update)) {
        log_.line("updateOutdated").with("peer", peer).with("known", before).with("version", update.version_);
        return;
    }
    advanceTo(update.version_);
    isApplyingLongUpdate_ = update.entries_.size() + update.removed_.size() + update.missing_.size() > maxLoggedChanges;
    for (const EngineRecord& record : update.entries_)
        put(record.key_, record.engine_, record.version_);
    for (const std::string& key : update.removed_)
        remove(key, ObjectVersion(update.version_), "goneByPeer");
    if (update.isFullState_) {
        removeUnlisted(update);
        removals_.addGap({ before, update.version_ });
    }
    for (const VersionGap& gap : update.gaps_)
        removals_.addGap(gap);
    applyMissing(update, now);
    isApplyingLongUpdate_ = false;
    isInitialized_ = true;
    log_.line("enginesByPeer").with("peer", peer).with("whole", update.isFullState_ ? "yes" : "no").with("before", before).with("version", appliedVersion_).with("changed", update.entries_.size()).with("removed", update.removed_.size()).with("missing", update.missing_.size());
}

void EngineCatalog::removeUnlisted(const EngineUpdate& whole)
{
    std::set<std::string> named(whole.unchanged_.begin(), whole.unchanged_.end());
    for (const EngineRecord& record : whole.entries_)
        named.insert(record.key_);
    for (const std::string& key : keysNotIn(named))
        remove(key, ObjectVersion(whole.version_), "goneByPeer");
}

void EngineCatalog::applyMissing(const EngineUpdate& update, TimePoint now)
{
    for (const MissingEngine& missing : update.missing_) {
        const bool hasNewerEntry = isOlder(missing.key_, missing.version_);
        if (!hasNewerEntry)
            markMissing(missing.key_, missing.version_, now + missing.timeToRemoval_);
        else if (update.isFullState_)
            remove(missing.key_, ObjectVersion(update.version_), "goneByPeer"); // the whole update lacks this node's newer entry
    }
}

} // namespace jj
