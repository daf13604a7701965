// Picks the engine for a request.
//
// Scoring every engine by the same stale report makes all nodes pick the same one (herding). So each choice draws a few engines
// at random, adds those that may hold the prompt's prefix, counts what this node sent since the report, and takes the best.
// The cost of a choice doesn't grow with the fleet.
#pragma once

#include "Fleet.h"
#include "PrefixHistory.h"

#include <boost/container/static_vector.hpp>
#include <optional>
#include <random>
#include <span>

namespace jj {

struct Choice {
    UpstreamId upstream_;
    NodeId home_;
    // Predicted time until the request's own work starts, at best: what this node sent since the report may be of one workspace,
    // behind which another's request doesn't wait. The home, which knows, decides.
    Duration wait_ {};
};

class Router {
public:
    explicit Router(Fleet& fleet)
        : fleet_(fleet)
        , random_(fleet.settings().seed_)
    {
    }

    // None when no upstream of the service can be reached. `avoid`: those that failed this request.
    // `urgent`: a batch item whose job has no slack left.
    std::optional<Choice> choose(const RequestSpec& spec, bool urgent, std::span<const UpstreamId> avoid, TimePoint now);
    // For a suspect: the same upstream from every node, so that two nodes' copies of one content meet in one queue.
    std::optional<Choice> chooseForSuspect(const RequestSpec& spec, UpstreamId crashed, TimePoint now);

    void noteSent(const RequestSpec& spec, UpstreamId upstream, TimePoint now);
    void apply(const CacheChanged& event, TimePoint now);

private:
    static constexpr std::size_t maxCandidates = 24;
    using Candidates = boost::container::static_vector<UpstreamId, maxCandidates>;

    struct Scored {
        Choice choice_;
        double score_ = 0;
    };

    void draw(const Pool& pool, const RequestSpec& spec, Candidates& candidates);
    void addFromRing(const Pool& pool, std::uint64_t hash, std::size_t count, Candidates& candidates) const;
    bool usable(UpstreamId upstream, std::span<const UpstreamId> avoid, TimePoint now) const;
    std::optional<Scored> best(const Pool& pool, const RequestSpec& spec, bool urgent, std::span<const UpstreamId> avoid, TimePoint now);
    std::optional<Choice> roundRobin(const Pool& pool, std::span<const UpstreamId> avoid, TimePoint now);
    std::optional<Choice> twoChoices(const Pool& pool, std::span<const UpstreamId> avoid, TimePoint now);
    std::optional<Scored> scoreOnline(UpstreamId upstream, const RequestSpec& spec, TimePoint now) const;
    std::optional<Scored> scoreBatch(UpstreamId upstream, const RequestSpec& spec, bool urgent, TimePoint now) const;
    bool holdsPrefix(UpstreamId upstream, const RequestSpec& spec, TimePoint now) const;
    double missCost(UpstreamId upstream, const RequestSpec& spec, const ServicePolicy& policy, TimePoint now) const;
    std::optional<Choice> spillOver(const RequestSpec& spec, bool urgent, std::span<const UpstreamId> avoid, const std::optional<Scored>& local, TimePoint now);

    Fleet& fleet_;
    std::mt19937_64 random_;
    PrefixHistory history_;
    std::uint64_t turn_ = 0;
};

} // namespace jj
