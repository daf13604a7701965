// Scores of engines and the choice among them.
#include "Router.h"

#include "base/Hash.h"

#include <algorithm>

namespace jj {

namespace {

    double seconds(Duration duration) { return toSeconds(duration); }

    // A short prompt joins the step that follows the one under way: on average half a step, then its own. An idle engine starts
    // at once, which is worth more than a cached prefix of a hundred tokens.
    constexpr double stepsWhenBusy = 1.5;
    constexpr double stepsWhenIdle = 1.0;
    // Mean stay of an online stream, for the wait behind a full engine, until a home tells its own.
    constexpr double standardStay = 1.0;

} // namespace

std::optional<Choice> Router::choose(const RequestSpec& spec, bool urgent, std::span<const UpstreamId> avoid, TimePoint now)
{
    const Pool* local = fleet_.pool(spec.service_, fleet_.settings().region_);
    if (fleet_.features().routing_ != Routing::PredictedWait) {
        if (!local)
            return std::nullopt;
        return fleet_.features().routing_ == Routing::RoundRobin ? roundRobin(*local, avoid, now) : twoChoices(*local, avoid, now);
    }
    std::optional<Scored> found = local ? best(*local, spec, urgent, avoid, now) : std::nullopt;
    const bool keeps = found && (spec.class_ == RequestClass::Batch || spec.deadline_ == neverTime || now + found->choice_.wait_ <= spec.deadline_);
    if (!keeps) {
        if (std::optional<Choice> remote = spillOver(spec, urgent, avoid, found, now))
            return remote;
    }
    if (!found)
        return std::nullopt;
    return found->choice_;
}

// Another region serves a request only when its own can't within the deadline, and the link has bytes left for its class.
std::optional<Choice> Router::spillOver(const RequestSpec& spec, bool urgent, std::span<const UpstreamId> avoid, const std::optional<Scored>& local, TimePoint now)
{
    // A batch item is due much later: while its own region has engines it waits for them and saves the bytes.
    const Pool* own = fleet_.pool(spec.service_, fleet_.settings().region_);
    if (spec.class_ == RequestClass::Batch && own && !own->serving_.empty())
        return std::nullopt;
    constexpr std::uint64_t bytesPerToken = 4;
    const std::uint64_t bytes = spec.bytes_ + spec.maxOutputTokens_ * bytesPerToken;
    for (const RegionId region : fleet_.regions()) {
        LinkView* link = region == fleet_.settings().region_ ? nullptr : fleet_.link(region);
        const Pool* pool = fleet_.pool(spec.service_, region);
        if (!link || !link->up_ || !pool)
            continue;
        std::optional<Scored> found = best(*pool, spec, urgent, avoid, now);
        if (!found)
            continue;
        found->choice_.wait_ += 2 * link->delay_;
        const bool serves = spec.deadline_ == neverTime || now + found->choice_.wait_ <= spec.deadline_;
        const bool better = !local || found->choice_.wait_ < local->choice_.wait_;
        if (serves && better && link->budget_.take(spec.class_, bytes, now))
            return found->choice_;
    }
    return std::nullopt;
}

bool Router::usable(UpstreamId upstream, std::span<const UpstreamId> avoid, TimePoint now) const
{
    const UpstreamView* view = fleet_.view(upstream);
    if (!view || view->home_.isNone() || view->avoidUntil_ > now)
        return false;
    if ((view->loadKnown_ && view->load_.suspect_) || view->report_.leaving_)
        return false;
    return std::find(avoid.begin(), avoid.end(), upstream) == avoid.end();
}

void Router::addFromRing(const Pool& pool, std::uint64_t hash, std::size_t count, Candidates& candidates) const
{
    if (pool.ring_.empty())
        return;
    auto at = std::lower_bound(pool.ring_.begin(), pool.ring_.end(), Pool::RingPoint { hash, UpstreamId(0) });
    constexpr std::size_t mostPoints = 32;
    const std::size_t points = std::min(pool.ring_.size(), mostPoints);
    for (std::size_t i = 0; i < points && count > 0 && candidates.size() < maxCandidates; ++i, ++at) {
        if (at == pool.ring_.end())
            at = pool.ring_.begin();
        if (std::find(candidates.begin(), candidates.end(), at->upstream_) != candidates.end())
            continue;
        candidates.push_back(at->upstream_);
        --count;
    }
}

void Router::draw(const Pool& pool, const RequestSpec& spec, Candidates& candidates)
{
    const Features& features = fleet_.features();
    if (features.prefixAffinity_ && !spec.prefix_.isNone()) {
        constexpr std::size_t ringEngines = 1;
        addFromRing(pool, spec.prefix_.value(), ringEngines, candidates);
    }
    const std::size_t count = pool.serving_.size();
    for (std::uint32_t i = 0; i < features.candidates_ && candidates.size() < maxCandidates; ++i) {
        const UpstreamId drawn = pool.serving_[random_() % count];
        if (std::find(candidates.begin(), candidates.end(), drawn) == candidates.end())
            candidates.push_back(drawn);
    }
}

std::optional<Router::Scored> Router::best(const Pool& pool, const RequestSpec& spec, bool urgent, std::span<const UpstreamId> avoid, TimePoint now)
{
    if (pool.serving_.empty())
        return std::nullopt;
    Candidates candidates;
    draw(pool, spec, candidates);
    std::optional<Scored> found;
    const auto consider = [&](UpstreamId upstream) {
        if (!usable(upstream, avoid, now))
            return;
        const std::optional<Scored> scored = spec.class_ == RequestClass::Online ? scoreOnline(upstream, spec, now) : scoreBatch(upstream, spec, urgent, now);
        if (scored && (!found || scored->score_ < found->score_))
            found = scored;
    };
    for (const UpstreamId upstream : candidates)
        consider(upstream);
    // Every drawn engine is out (a third of them lost, say): look at all before the request is refused for want of one.
    if (!found && spec.class_ == RequestClass::Online) {
        for (const UpstreamId upstream : pool.serving_)
            consider(upstream);
    }
    return found;
}

bool Router::holdsPrefix(UpstreamId upstream, const RequestSpec& spec, TimePoint now) const
{
    return fleet_.features().prefixAffinity_ && !spec.prefix_.isNone() && history_.holds(spec.prefix_, upstream, now);
}

double Router::missCost(UpstreamId upstream, const RequestSpec& spec, const ServicePolicy& policy, TimePoint now) const
{
    return (spec.promptTokens_ - (holdsPrefix(upstream, spec, now) ? spec.prefixTokens_ : 0)) * seconds(policy.stepPerPromptToken_);
}

std::optional<Router::Scored> Router::scoreOnline(UpstreamId upstream, const RequestSpec& spec, TimePoint now) const
{
    const UpstreamView& view = *fleet_.view(upstream);
    const UpstreamChanged& info = *fleet_.upstream(upstream);
    const ServicePolicy& policy = fleet_.policy(spec.service_);
    const double slots = std::max<std::uint32_t>(fleet_.slotsOf(info), 1);
    const double streams = view.load_.onlineRunning_ + view.load_.onlineWaiting_ + view.sentOnline_;
    // What this node sent since the report is behind its figures. Engines that hold a prefix draw the other nodes' requests for it
    // as much as this node's, so there what this node sent stands for all.
    const bool hit = holdsPrefix(upstream, spec, now);
    double since = 0;
    if (info.kind_ == UpstreamKind::Engine)
        since += view.sentOnline_ * spec.promptTokens_ * seconds(policy.stepPerPromptToken_);
    const double over = std::max(0.0, streams + 1 - slots) - std::max(0.0, streams - view.sentOnline_ + 1 - slots);
    since += over * standardStay / slots;
    const double wait = seconds(view.load_.onlineWait_) + since * (hit ? static_cast<double>(fleet_.liveNodes()) : 1.0);
    const double step = info.kind_ == UpstreamKind::Engine ? seconds(policy.stepBase_) + (streams + view.load_.batchRunning_) * seconds(policy.stepPerStream_) : streams / slots;
    const double work = info.kind_ == UpstreamKind::Engine ? missCost(upstream, spec, policy, now) : 0;
    const double steps = streams + view.load_.batchRunning_ > 0 ? stepsWhenBusy : stepsWhenIdle;
    return Scored { { upstream, view.home_, view.load_.freshWait_ }, wait + work + steps * step };
}

std::optional<Router::Scored> Router::scoreBatch(UpstreamId upstream, const RequestSpec& spec, bool urgent, TimePoint now) const
{
    const UpstreamView& view = *fleet_.view(upstream);
    const ServicePolicy& policy = fleet_.policy(spec.service_);
    if (!fleet_.features().homes_)
        return Scored { { upstream, view.home_, {} }, view.sentBatch_ + view.load_.batchRunning_ + missCost(upstream, spec, policy, now) };
    // Each node takes its part of the room; twice that, since not all have batch at hand.
    const auto nodes = static_cast<std::uint32_t>(fleet_.liveNodes());
    std::uint32_t share = view.load_.batchRoom_ == 0 ? 0 : std::max(1U, 2 * view.load_.batchRoom_ / nodes);
    // An urgent item goes before other batch at the home, so it needn't wait for room there.
    constexpr std::uint32_t urgentEach = 4;
    if (urgent && view.load_.batchWaiting_ < 2 * urgentEach)
        share = std::max(share, urgentEach);
    if (view.sentBatch_ >= share)
        return std::nullopt;
    // Most room first; a cached prefix is worth the prompt work that it saves, in streams' share of a step.
    const double room = static_cast<double>(view.load_.batchRoom_) - view.sentBatch_;
    return Scored { { upstream, view.home_, {} }, missCost(upstream, spec, policy, now) / std::max(seconds(policy.stepPerStream_), 1e-6) - room };
}

std::optional<Choice> Router::roundRobin(const Pool& pool, std::span<const UpstreamId> avoid, TimePoint now)
{
    for (std::size_t i = 0; i < pool.serving_.size(); ++i) {
        const UpstreamId upstream = pool.serving_[turn_++ % pool.serving_.size()];
        if (usable(upstream, avoid, now))
            return Choice { upstream, fleet_.view(upstream)->home_, {} };
    }
    return std::nullopt;
}

std::optional<Choice> Router::twoChoices(const Pool& pool, std::span<const UpstreamId> avoid, TimePoint now)
{
    std::optional<Choice> found;
    std::uint32_t foundLoad = 0;
    constexpr int mostDraws = 8;
    int usableDrawn = 0;
    for (int i = 0; i < mostDraws && usableDrawn < 2 && !pool.serving_.empty(); ++i) {
        const UpstreamId upstream = pool.serving_[random_() % pool.serving_.size()];
        if (!usable(upstream, avoid, now))
            continue;
        ++usableDrawn;
        const UpstreamView& view = *fleet_.view(upstream);
        const std::uint32_t load = view.report_.running_ + view.report_.waiting_;
        if (!found || load < foundLoad) {
            found = Choice { upstream, view.home_, {} };
            foundLoad = load;
        }
    }
    return found;
}

std::optional<Choice> Router::chooseForSuspect(const RequestSpec& spec, UpstreamId crashed, TimePoint now)
{
    const UpstreamId avoid[] = { crashed };
    for (const RegionId region : fleet_.regions()) {
        const LinkView* link = fleet_.link(region);
        const Pool* pool = fleet_.pool(spec.service_, region);
        if (!pool || (region != fleet_.settings().region_ && (!link || !link->up_)))
            continue;
        Candidates candidates;
        addFromRing(*pool, mixHash(spec.fingerprint_.value(), spec.service_.value()), maxCandidates, candidates);
        for (const UpstreamId upstream : candidates) {
            if (usable(upstream, avoid, now))
                return Choice { upstream, fleet_.view(upstream)->home_, {} };
        }
    }
    return std::nullopt;
}

void Router::noteSent(const RequestSpec& spec, UpstreamId upstream, TimePoint now)
{
    UpstreamView* view = fleet_.view(upstream);
    if (!view)
        return;
    ++(spec.class_ == RequestClass::Online ? view->sentOnline_ : view->sentBatch_);
    history_.add(spec.prefix_, upstream, now);
}

void Router::apply(const CacheChanged& event, TimePoint now)
{
    for (const PrefixChange& change : event.changes_) {
        if (change.stored_)
            history_.add(change.prefix_, event.upstream_, now);
        else
            history_.remove(change.prefix_, event.upstream_);
    }
}

} // namespace jj
