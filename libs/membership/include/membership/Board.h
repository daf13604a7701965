// What the digest carries besides members: configuration versions, load of engines, quarantine and leaving marks of upstreams.
// Each kind merges by its own order, so that lost, doubled and reordered digests end in the same state.
#pragma once

#include "membership/Broadcasts.h"
#include "membership/Events.h"
#include "membership/Settings.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>
#include <vector>

namespace jj {

class Board {
public:
    Board(NodeId self, const MembershipSettings& settings)
        : self_(self)
        , settings_(settings)
    {
    }

    // `true`: an update that must not wait for a probe.
    bool seeConfig(ConfigVersion version);
    void setLoads(std::vector<UpstreamLoad> loads);
    bool quarantine(Fingerprint fingerprint, Duration duration, TimePoint now);
    bool mark(UpstreamId upstream, bool leaving, WallTime wall);

    // Takes a peer's part of the digest; what is new goes to `commands`.
    bool merge(const MembershipDigest& digest, TimePoint now, std::vector<MembershipCommand>& commands);

    // Adds this node's part.
    void fill(MembershipDigest& digest, TimePoint now, std::uint32_t sendLimit, bool crosses);

    // Drops quarantine marks that have ended and loads without a fresh report.
    void expire(TimePoint now);

    ConfigVersion configVersion() const { return configVersion_; }
    std::optional<UpstreamLoad> loadOf(UpstreamId upstream) const;
    std::optional<UpstreamMark> markOf(UpstreamId upstream) const;
    bool isQuarantined(Fingerprint fingerprint, TimePoint now) const;

private:
    struct KnownLoad {
        UpstreamLoad report_;
        TimePoint heardAt_ {};
    };

    bool takeLoad(const UpstreamLoad& report, TimePoint now);
    bool takeQuarantine(Fingerprint fingerprint, Duration remaining, TimePoint now);
    bool takeMark(const UpstreamMark& mark);
    void fillLoads(MembershipDigest& digest, bool crosses);
    void fillMarks(MembershipDigest& digest, TimePoint now, std::uint32_t sendLimit, bool crosses);

    NodeId self_;
    MembershipSettings settings_;
    ConfigVersion configVersion_;
    std::vector<UpstreamLoad> ownLoads_;
    std::uint32_t loadSequence_ = 0;
    boost::unordered_flat_map<UpstreamId, KnownLoad, std::hash<UpstreamId>> loads_;
    boost::unordered_flat_map<Fingerprint, TimePoint, std::hash<Fingerprint>> quarantined_;
    // In the order learned, so that they can be sent in turn; few at any time.
    std::vector<UpstreamMark> marks_;
    std::size_t nextMark_ = 0;
    RegionalBroadcasts<UpstreamId> loadBroadcasts_;
    RegionalBroadcasts<Fingerprint> quarantineBroadcasts_;
    RegionalBroadcasts<UpstreamId> markBroadcasts_;
};

} // namespace jj
