// The engines that this node knows, and the updates that it sends to peers. No store, socket or clock: changes and times go in.
//
// Each change of an engine's entry has a version of the store, and so has each removal. A node that says "I know up to version V" has
// taken up every change up to V; peers that are behind ask one such node and then count as knowing V themselves. So whatever is
// known up to V has to be in that node's answer, or it never reaches the asker. Where the node took over a state without the removals
// that led to it, its answer names all engines; see RemovalHistory.h.
//
// Entries of living engines lapse while the store is away, and register again within seconds of its return. So what is missing just after
// an outage stays in use for a while. Updates name such engines with the time that is left, and each node drops them by itself.
#pragma once

#include "DecisionLog.h"
#include "PeerMessages.h"
#include "RemovalHistory.h"
#include "serving/Translation.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jj {

// The store's versions when the first and the last page of a list were read.
struct PageVersions {
    ObjectVersion first_;
    ObjectVersion last_;
};

class EngineCatalog {
public:
    using Changed = std::function<void(const EngineEntry&)>;
    using Removed = std::function<void(const EngineEntry&)>;

    EngineCatalog(const Translation& translation, DecisionLog& log, std::map<std::string, std::string> regions, Changed changed, Removed removed);

    // ---- from the store

    // All entries, with values. An engine that isn't named is gone, and stays in use for `grace`.
    void list(const std::vector<ObjectEntry>& entries, PageVersions versions, TimePoint now, Duration grace);
    // All changes up to `version` since an earlier list or call, in their order.
    void follow(const std::vector<ObjectChange>& changes, ObjectVersion version, TimePoint now, Duration grace);

    // Removes the missing engines whose hold is over.
    void tick(TimePoint now);

    // ---- between nodes

    // Every change up to it is taken up; 0: none.
    std::uint64_t version() const { return newest_; }
    // A peer knows of changes up to `version`. True: so does this node, from now on it says so too.
    bool knowsAsMuch(std::uint64_t version);
    bool isKnown() const { return isKnown_; }
    void forEach(const std::function<void(const EngineEntry&)>& visit) const;
    // For a peer that knows of changes up to `since`.
    EngineUpdate updateSince(std::uint64_t since, TimePoint now) const;
    // `peer`: who sent it, for the log.
    void take(const EngineUpdate& update, std::string_view peer, TimePoint now);

private:
    struct Known {
        EngineEntry entry_;
        std::string value_; // as the store holds it
        ObjectVersion version_;
        // Invariant: neverTime, or the store has removed the entry at missingVersion_ and the engine is in use until then.
        TimePoint goneAt_ = neverTime;
        ObjectVersion missingVersion_;

        bool isMissing() const { return goneAt_ != neverTime; }
    };

    void put(const std::string& key, const std::string& value, ObjectVersion version);
    // An entry out of an answer that shows the store at `answeredAt`.
    void putAnswered(const std::string& key, const std::string& value, ObjectVersion version, ObjectVersion answeredAt);
    void gone(const std::string& key, ObjectVersion version, TimePoint now, Duration grace);
    void knowsUpTo(std::uint64_t version);
    bool isOlder(const std::string& key, ObjectVersion version) const;
    void miss(const std::string& key, ObjectVersion version, TimePoint goneAt);
    void remove(const std::string& key, ObjectVersion version, std::string_view why);
    // The keys that count as there at `version`.
    std::set<std::string> putListed(const std::vector<ObjectEntry>& entries, ObjectVersion version);
    // Of known engines.
    std::vector<std::string> keysWithout(const std::set<std::string>& named) const;
    static bool isCompleteFrom(std::uint64_t version, const EngineUpdate& update);
    void removeUnnamed(const EngineUpdate& whole);
    void takeMissing(const EngineUpdate& update, TimePoint now);

    const Translation& translation_;
    DecisionLog& log_;
    std::map<std::string, std::string> regions_; // by failure domain
    Changed changed_;
    Removed removed_;
    std::map<std::string, Known> known_; // by the entry's key. Invariant: none is newer than newest_.
    RemovalHistory removals_; // for peers that heard of an engine and not of its end
    std::uint64_t newest_ = 0; // of an engine's change
    // Of the store, in its last answer: no engine changed since newest_ up to it, but for some that came and went. Most of its versions are of
    // other objects, so peers don't hear of it.
    std::uint64_t answeredUpTo_ = 0;
    bool isKnown_ = false;
    // No later than the first end of a hold; neverTime: nothing is held.
    TimePoint nextEnd_ = neverTime;
};

} // namespace jj
