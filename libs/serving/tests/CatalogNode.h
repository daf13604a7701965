// One node's knowledge of the engines, without a network: what the store answers and what peers send goes in by call.
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

// Entries whose value is the engine's state: "ready", "draining" or anything else, which can't be read.
inline Translation plainEntries()
{
    Translation translation;
    translation.readEngine_ = [](std::string_view key, std::string_view value, const std::map<std::string, std::string>&) -> Checked<EngineEntry> {
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
    Names using_; // engines that may get requests
    EngineCatalog catalog_ { translation(), log(), {}, [this](const EngineEntry& entry) { changed(entry); }, [this](const EngineEntry& entry) { using_.erase(entry.name_); } };

    // What a node does that hears of a newer version.
    void ask(const Node& peer, TimePoint now) { catalog_.take(peer.catalog_.updateSince(catalog_.version(), now), "peer", now); }

    // The store was listed at `version`.
    void list(const std::vector<ObjectEntry>& entries, ObjectVersion version, TimePoint now = {}, Duration held = {}) { catalog_.list(entries, { version, version }, now, held); }

    // A held-open call of the store brought these.
    void follow(const std::vector<ObjectChange>& changes, ObjectVersion version, TimePoint now = {}, Duration held = {}) { catalog_.follow(changes, version, now, held); }

    void put(const std::string& key, const std::string& value, ObjectVersion version) { catalog_.follow({ { ChangeKind::Put, version, key, value } }, version, {}, {}); }
    void remove(const std::string& key, ObjectVersion version, TimePoint now, Duration held) { catalog_.follow({ { ChangeKind::Remove, version, key, {} } }, version, now, held); }

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
            using_.erase(entry.name_);
        else
            using_.insert(entry.name_);
    }
};

} // namespace jj::testing
