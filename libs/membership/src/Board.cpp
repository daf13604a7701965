// Merging and filling of the digest's parts.
#include "membership/Board.h"

#include "membership/Members.h"

#include <algorithm>
#include <iterator>

namespace jj {

namespace {

    // A report of another home replaces the known one only when that has gone quiet: for a while two nodes may believe that they
    // are home, and their sequences can't be compared.
    constexpr Duration loadQuiet = 3s;
    constexpr Duration loadExpiry = 30s;
    constexpr std::uint32_t loadSendLimit = 3;
    // Transit makes a mark end a little later at each node; only a real extension is an update.
    constexpr Duration quarantineExtension = 10s;

    std::uint32_t toMs(Duration duration)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
    }

} // namespace

bool Board::seeConfig(ConfigVersion version)
{
    if (!isLater(version, configVersion_))
        return false;
    configVersion_ = version;
    return true;
}

void Board::setLoads(std::vector<UpstreamLoad> loads)
{
    ++loadSequence_;
    ownLoads_ = std::move(loads);
    if (ownLoads_.size() > maxLoads / 2)
        ownLoads_.resize(maxLoads / 2);
    for (UpstreamLoad& load : ownLoads_) {
        load.home_ = self_;
        load.sequence_ = loadSequence_;
    }
}

bool Board::quarantine(Fingerprint fingerprint, Duration duration, TimePoint now)
{
    return takeQuarantine(fingerprint, duration, now);
}

bool Board::mark(UpstreamId upstream, bool leaving, WallTime wall)
{
    const auto known = markOf(upstream);
    if (known && known->leaving_ == leaving)
        return false;
    const auto wallMs = static_cast<std::uint64_t>(wall.time_since_epoch().count());
    return takeMark({ upstream, std::max(wallMs, known ? known->revision_ + 1 : 0), leaving });
}

bool Board::takeLoad(const UpstreamLoad& report, TimePoint now)
{
    if (report.home_ == self_)
        return false;
    auto [place, isNew] = loads_.try_emplace(report.upstream_, KnownLoad { report, now });
    if (!isNew) {
        KnownLoad& known = place->second;
        const bool later = known.report_.home_ == report.home_ ? report.sequence_ > known.report_.sequence_ : now - known.heardAt_ > loadQuiet;
        if (!later)
            return false;
        known = { report, now };
    }
    loadBroadcasts_.push(report.upstream_);
    return true;
}

bool Board::takeQuarantine(Fingerprint fingerprint, Duration remaining, TimePoint now)
{
    const TimePoint until = now + remaining;
    auto [place, isNew] = quarantined_.try_emplace(fingerprint, until);
    if (!isNew && until < place->second + quarantineExtension)
        return false;
    place->second = until;
    quarantineBroadcasts_.push(fingerprint);
    return true;
}

bool Board::takeMark(const UpstreamMark& mark)
{
    const auto known = std::find_if(marks_.begin(), marks_.end(), [&mark](const UpstreamMark& other) { return other.upstream_ == mark.upstream_; });
    if (known == marks_.end())
        marks_.push_back(mark);
    else if (mark.revision_ > known->revision_)
        *known = mark;
    else
        return false;
    markBroadcasts_.push(mark.upstream_);
    return true;
}

bool Board::merge(const MembershipDigest& digest, TimePoint now, std::vector<MembershipCommand>& commands)
{
    bool urgent = false;
    for (const UpstreamLoad& load : digest.loads_) {
        if (takeLoad(load, now))
            commands.emplace_back(LoadLearned { load });
    }
    for (const QuarantineMark& mark : digest.quarantined_) {
        const Duration remaining = std::chrono::milliseconds(mark.remainingMs_);
        if (takeQuarantine(mark.fingerprint_, remaining, now)) {
            commands.emplace_back(QuarantineLearned { mark.fingerprint_, remaining });
            urgent = true;
        }
    }
    for (const UpstreamMark& mark : digest.upstreams_) {
        if (takeMark(mark)) {
            commands.emplace_back(UpstreamMarkLearned { mark });
            urgent = true;
        }
    }
    return urgent;
}

void Board::fill(MembershipDigest& digest, TimePoint now, std::uint32_t sendLimit, bool crosses)
{
    digest.configVersion_ = configVersion_;
    fillLoads(digest, crosses);
    fillMarks(digest, now, sendLimit, crosses);
}

void Board::fillLoads(MembershipDigest& digest, bool crosses)
{
    digest.loads_.assign(ownLoads_.begin(), ownLoads_.begin() + static_cast<std::ptrdiff_t>(std::min(ownLoads_.size(), settings_.loadsPerDatagram_)));
    for (UpstreamId upstream : loadBroadcasts_.take(settings_.loadsPerDatagram_, loadSendLimit, crosses)) {
        if (const auto load = loadOf(upstream))
            digest.loads_.push_back(*load);
    }
}

void Board::fillMarks(MembershipDigest& digest, TimePoint now, std::uint32_t sendLimit, bool crosses)
{
    for (Fingerprint fingerprint : quarantineBroadcasts_.take(settings_.marksPerDatagram_, sendLimit, crosses)) {
        if (isQuarantined(fingerprint, now))
            digest.quarantined_.push_back({ fingerprint, toMs(quarantined_.at(fingerprint) - now) });
    }
    for (UpstreamId upstream : markBroadcasts_.take(settings_.marksPerDatagram_, sendLimit, crosses))
        digest.upstreams_.push_back(*markOf(upstream));
    // One mark in turn besides the updates, so that a node that missed it, or joined later, learns it.
    if (!marks_.empty())
        digest.upstreams_.push_back(marks_[nextMark_++ % marks_.size()]);
}

void Board::expire(TimePoint now)
{
    boost::unordered::erase_if(quarantined_, [now](const auto& entry) { return entry.second <= now; });
    boost::unordered::erase_if(loads_, [now](const auto& entry) { return now - entry.second.heardAt_ > loadExpiry; });
}

std::optional<UpstreamLoad> Board::loadOf(UpstreamId upstream) const
{
    const auto found = loads_.find(upstream);
    return found == loads_.end() ? std::nullopt : std::optional(found->second.report_);
}

std::optional<UpstreamMark> Board::markOf(UpstreamId upstream) const
{
    const auto found = std::find_if(marks_.begin(), marks_.end(), [upstream](const UpstreamMark& mark) { return mark.upstream_ == upstream; });
    return found == marks_.end() ? std::nullopt : std::optional(*found);
}

bool Board::isQuarantined(Fingerprint fingerprint, TimePoint now) const
{
    const auto found = quarantined_.find(fingerprint);
    return found != quarantined_.end() && found->second > now;
}

} // namespace jj
