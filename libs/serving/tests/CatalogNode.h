// Provides a node's engine catalog for tests without a network: tests pass in the store's answers and the peers' updates by
// function calls.
#pragma once

#include "EngineCatalog.h"

#include <fcntl.h>
#include <set>
#include <string>
#include <unistd.h>

namespace jj::testing {

inline constexpr Duration grace = 2200ms;

using Names = std::set<std::string>;

inline ObjectVersion at(std::uint64_t version) { return ObjectVersion(version); }

// Builds a translation for entries whose value is the engine's state: "ready" or "draining". Any other value is unreadable.
inline Translation plainEntries()
{
    Translation translation;
    translation.parseEngine_ = [](std::string_view key, std::string_view value, const std::map<std::string, std::string>&) -> Checked<EngineEntry> {
        if (value != "ready" && value != "draining")
            return Failure { PeerError::Unreadable, std::string(value) };
        EngineEntry entry;
        entry.name_ = key;
        entry.id_ = UpstreamId(std::hash<std::string_view>()(key) | 1);
        entry.draining_ = value == "draining";
        return entry;
    };
    return translation;
}

class Node {
public:
    Names inUse_; // engines that may receive requests
    EngineCatalog catalog_ { translation(), log(), {}, [this](const EngineEntry& entry) { changed(entry); }, [this](const EngineEntry& entry) { inUse_.erase(entry.name_); } };

    // Requests an update from `peer` and applies it, as a node does when a peer reports a newer version.
    void requestUpdate(const Node& peer, TimePoint now) { catalog_.applyUpdate(peer.catalog_.updateSince(catalog_.version(), now), "peer", now); }

    // Applies a one-page list of the store at `version`; missing engines stay in use for the given time.
    void list(const std::vector<ObjectEntry>& entries, ObjectVersion version, TimePoint now = {}, Duration gracePeriod = {}) { catalog_.list(entries, { version, version }, now, gracePeriod); }

    // Applies the changes that a long-poll call to the store returned.
    void applyChanges(const std::vector<ObjectChange>& changes, ObjectVersion version, TimePoint now = {}, Duration gracePeriod = {}) { catalog_.applyChanges(changes, version, now, gracePeriod); }

    void put(const std::string& key, const std::string& value, ObjectVersion version) { catalog_.applyChanges({ { ChangeKind::Put, version, key, value } }, version, {}, {}); }
    void remove(const std::string& key, ObjectVersion version, TimePoint now, Duration gracePeriod) { catalog_.applyChanges({ { ChangeKind::Remove, version, key, {} } }, version, now, gracePeriod); }

private:
    static const Translation& translation()
    {
        static const Translation all = plainEntries();
        return all;
    }
    static DecisionLog& log()
    {
        static DecisionLog silent("node", 1000, ::open("/dev/null", O_WRONLY | O_CLOEXEC));
        return silent;
    }
    void changed(const EngineEntry& entry)
    {
        if (entry.draining_)
            inUse_.erase(entry.name_);
        else
            inUse_.insert(entry.name_);
    }
};

} // namespace jj::testing
