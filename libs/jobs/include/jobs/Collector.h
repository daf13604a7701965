// Removes what is past its retention: ended jobs with their chunks and results, chunks of uploads that were never committed, and
// intents and outcomes of at-most-once calls.
// The holder of partition 0 does it, slowly, as the least urgent class of calls; two at once do no harm.
//
// Order within a job: results and chunks, then the manifest, then the ledger, then the entry in the list. A job that is
// accepted anew in between has another upload name, by which its holder knows the old ledger as foreign.
#pragma once

#include "jobs/JobContext.h"
#include "jobs/Records.h"

#include <functional>

namespace jj {

class Collector {
public:
    explicit Collector(JobContext& context);

    void tick(bool isCollector);

private:
    using Then = std::function<void()>;

    void collectEnded();
    void removeJob(const std::string& expiry, JobId job);
    void collectOrphans();
    void removeOrphan(const std::string& record, const std::string& upload);
    // Goes through a prefix page by page over many rounds, and removes what is older than callRetention_.
    struct Sweep {
        std::string prefix_;
        std::string after_;
    };
    template <class Record>
    void sweep(Sweep& sweep);
    struct SeenObject {
        std::string key_; // empty: none
        ObjectVersion version_;
    };
    // Removes all objects under a prefix while the manifest, if there is one, stands as it was seen; goes on only when none is left.
    void removeAll(const std::string& prefix, const SeenObject& manifest, Then then);
    void removeListed(const std::vector<ObjectEntry>& entries, const Then& then);
    void remove(const std::string& key, ObjectVersion version, Then then);
    TimePoint patience() const { return context_.now_ + context_.settings_.collectEvery_; }

    JobContext& context_;
    TimePoint nextAt_ {};
    Sweep calls_ { callPrefix(), {} };
    Sweep outcomes_ { outcomePrefix(), {} };
};

} // namespace jj
