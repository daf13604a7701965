#include "ShareFleet.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

namespace jj {

namespace {

    // IP and UDP headers, label, authentication code, and the fixed fields of a message.
    constexpr std::size_t messageBytes = 80;
    constexpr std::size_t bytesOfWorkspace = 12;
    constexpr std::size_t bytesOfRank = 5;
    constexpr double backgroundLoad = 0.05; // of all slots
    constexpr Duration tickInterval = 50ms;

    template <class Message>
    double bytesOf(const Message& message)
    {
        return static_cast<double>(messageBytes + bytesOfWorkspace * message.workspaces_.size() + bytesOfRank * message.ranks_.size());
    }

} // namespace

ShareFleet::ShareFleet(ShareWay way, const ShareFleetShape& shape, std::uint64_t seed)
    : way_(way)
    , shape_(shape)
    , random_(seed)
    , hosts_(shape.hosts_)
    , demands_(shape.competing_)
    , freeSlots_(shape.cells_)
    , occupied_(shape.workspaces_)
    , arrived_(shape.workspaces_)
    , ran_(shape.workspaces_)
{
    // Sizes from 1 to 30: some workspaces request less than an equal part, and few request most.
    double sum = 0;
    for (std::size_t one = 0; one < shape.competing_; ++one)
        sum += demands_[one] = static_cast<double>(one + 1);
    for (double& demand : demands_)
        demand *= shape.load_ * slots() / sum;
    oracle_ = newShares(0, Incarnation(1));
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        hosts_[host].shares_ = newShares(host, hosts_[host].incarnation_);
        Event tick;
        tick.kind_ = Kind::Tick;
        tick.host_ = host;
        push(tick, tickInterval * static_cast<std::int64_t>(host) / static_cast<std::int64_t>(hosts_.size()));
    }
    for (std::size_t engine = 0; engine < shape.engines_; ++engine)
        freeSlots_[engine % shape.cells_] += shape.slotsOfEngine_;
    push({}, Duration(1));
}

WorkspaceId ShareFleet::idOf(std::size_t workspace) const { return WorkspaceId(1000 + workspace); }

double ShareFleet::weightOf(std::size_t workspace) const
{
    return shape_.isUnequal_ && workspace < shape_.competing_ ? static_cast<double>(1U << (workspace % 3)) : 1;
}

Rank ShareFleet::rankOf(std::size_t workspace) const { return workspace < shape_.competing_ ? static_cast<Rank>(workspace % shape_.ranks_) : Rank(0); }

std::unique_ptr<FairShares> ShareFleet::newShares(std::size_t host, Incarnation incarnation) const
{
    auto shares = std::make_unique<FairShares>(FairShares::create(shape_.settings_, NodeId(host + 1), incarnation).value());
    std::vector<WorkspaceWeight> weights;
    for (std::size_t one = 0; one < shape_.workspaces_; ++one)
        weights.push_back({ idOf(one), weightOf(one) });
    shares->setWorkspaces(weights);
    shares->setRanksDiffer(shape_.ranks_ > 1);
    shares->setExpectedRun(shape_.isRunCharged_ ? shape_.meanRun_ : Duration::zero());
    return shares;
}

void ShareFleet::push(Event event, Duration delay)
{
    event.at_ = now_ + delay;
    event.order_ = nextOrder_++;
    events_.push(std::move(event));
}

Duration ShareFleet::exponential(double meanSeconds) { return fromSeconds(std::exponential_distribution<double>(1 / meanSeconds)(random_)); }

// ---- hosts

void ShareFleet::kill(std::size_t host)
{
    Host& one = hosts_[host];
    one.isUp_ = false;
    one.waiting_.clear();
}

void ShareFleet::restart(std::size_t host)
{
    Host& one = hosts_[host];
    one.isUp_ = true;
    one.incarnation_ = Incarnation(one.incarnation_.value() + 1);
    one.shares_ = newShares(host, one.incarnation_);
    one.tags_.clear();
    one.published_ = {};
}

std::size_t ShareFleet::randomHost()
{
    const double all = static_cast<double>(hosts_.size()) - 1 + shape_.unevenFactor_;
    for (;;) {
        const double place = std::uniform_real_distribution<double>(0, all)(random_);
        const std::size_t host = place < shape_.unevenFactor_ ? 0 : std::min(hosts_.size() - 1, 1 + static_cast<std::size_t>(place - shape_.unevenFactor_));
        // A caller whose host doesn't answer calls another one. A paused host's connections are still open, so requests wait there.
        if (hosts_[host].isUp_)
            return host;
        if (std::none_of(hosts_.begin(), hosts_.end(), [](const Host& one) { return one.isUp_; }))
            return hosts_.size();
    }
}

// ---- requests

void ShareFleet::arrive()
{
    double all = backgroundLoad * slots();
    for (const double demand : demands_)
        all += demand;
    push({}, exponential(toSeconds(shape_.meanRun_) / all));
    double place = std::uniform_real_distribution<double>(0, all)(random_);
    std::size_t workspace = 0;
    while (workspace < demands_.size() && place >= demands_[workspace])
        place -= demands_[workspace++];
    if (workspace == demands_.size() && shape_.workspaces_ == demands_.size())
        return;
    if (workspace == demands_.size())
        workspace += std::uniform_int_distribution<std::size_t>(0, shape_.workspaces_ - demands_.size() - 1)(random_);
    const std::size_t at = randomHost();
    if (at == hosts_.size())
        return;
    ++arrived_[workspace];
    Host& host = hosts_[at];
    host.waiting_.push_back({ static_cast<std::uint32_t>(workspace), rankOf(workspace), now_ });
    if (freeSlots_[cellOf(at)] == 0 || host.isPaused_)
        return;
    // A free slot is taken at once, so no other request waits.
    --freeSlots_[cellOf(at)];
    const std::size_t first = firstOf(host);
    const Waiting request = host.waiting_[first];
    host.waiting_.erase(host.waiting_.begin() + static_cast<std::ptrdiff_t>(first));
    start(at, request);
}

void ShareFleet::Occupied::change(int change, TimePoint now)
{
    seconds_ += slots_ * toSeconds(now - at_);
    slots_ += change;
    at_ = now;
}

void ShareFleet::countSlotTime(std::size_t workspace, Rank rank, int change)
{
    occupied_[workspace].change(change, now_);
    occupiedOfRank_[rank].change(change, now_);
}

void ShareFleet::start(std::size_t at, const Waiting& request)
{
    Host& host = hosts_[at];
    countSlotTime(request.workspace_, request.rank_, 1);
    ++ran_[request.workspace_];
    sharesOf(host).started(idOf(request.workspace_), request.rank_, now_);
    if (way_ == ShareWay::Local) {
        double& tag = host.tags_[request.workspace_];
        host.virtualTime_ = std::max(host.virtualTime_, tag);
        tag = host.virtualTime_ + toSeconds(shape_.meanRun_) / weightOf(request.workspace_);
    }
    Event event;
    event.kind_ = Kind::End;
    event.host_ = at;
    event.workspace_ = request.workspace_;
    event.rank_ = request.rank_;
    event.incarnation_ = host.incarnation_;
    push(event, exponential(toSeconds(shape_.meanRun_)));
}

// A run whose host was killed ends all the same: the engine notices late that nobody reads.
void ShareFleet::end(const Event& event)
{
    countSlotTime(event.workspace_, event.rank_, -1);
    Host& host = hosts_[event.host_];
    const bool isKnown = host.isUp_ && host.incarnation_ == event.incarnation_;
    if (isKnown || way_ == ShareWay::Optimum)
        sharesOf(host).ended(idOf(event.workspace_), event.rank_, now_);
    const std::size_t cell = cellOf(event.host_);
    ++freeSlots_[cell];
    giveFreedSlots(cell, isKnown && !host.isPaused_ ? std::optional(event.host_) : std::nullopt);
}

void ShareFleet::giveFreedSlots(std::size_t cell, std::optional<std::size_t> ended)
{
    while (freeSlots_[cell] > 0) {
        const auto next = nextHost(cell, ended);
        if (!next)
            return;
        Host& host = hosts_[*next];
        refuseOld(host);
        if (host.waiting_.empty()) {
            host.published_ = { now_, {}, false };
            continue;
        }
        --freeSlots_[cell];
        const std::size_t first = firstOf(host);
        const Waiting request = host.waiting_[first];
        host.waiting_.erase(host.waiting_.begin() + static_cast<std::ptrdiff_t>(first));
        start(*next, request);
        host.published_.isAny_ = !host.waiting_.empty();
        ended.reset();
    }
}

std::optional<std::size_t> ShareFleet::nextHost(std::size_t cell, std::optional<std::size_t> ended)
{
    std::optional<std::size_t> best;
    std::uint64_t bestPlace = 0;
    const std::uint64_t engine = random_();
    // Hosts that are cut off know nothing of other hosts' freed slots and waiting requests.
    const bool isOfCut = ended && hosts_[*ended].isCut_;
    const auto mayTake = [&](std::size_t host) { return isOfCut ? host == *ended : !ended || !hosts_[host].isCut_; };
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        if (cellOf(host) != cell || !mayTake(host) || !hosts_[host].isUp_ || hosts_[host].isPaused_ || !publishedOf(host).isAny_)
            continue;
        const std::uint64_t place = mixHash(engine, host);
        const Claim claim = hosts_[host].published_.claim_;
        if (best && (claim > hosts_[*best].published_.claim_ || (claim == hosts_[*best].published_.claim_ && place > bestPlace)))
            continue;
        best = host;
        bestPlace = place;
    }
    if (ended && !best)
        return nextHost(cell, std::nullopt);
    if (!ended || !best || way_ == ShareWay::Optimum || hosts_[*ended].waiting_.empty() || !hosts_[*ended].isUp_)
        return best;
    if (way_ != ShareWay::Exchanged)
        return ended;
    Host& own = hosts_[*ended];
    const Waiting& request = own.waiting_[firstOf(own)];
    const Claim claim = claimOf(own, request);
    const Claim& other = hosts_[*best].published_.claim_;
    const float margin = static_cast<float>(shape_.keepMargin_) * own.shares_->usageOfOneRun(idOf(request.workspace_));
    const bool isOutranked = other.rank_ < claim.rank_ || (other.rank_ == claim.rank_ && other.usage_ + margin < claim.usage_);
    return isOutranked ? best : ended;
}

Claim ShareFleet::claimOf(Host& host, const Waiting& request)
{
    if (way_ == ShareWay::Fifo)
        return {};
    if (way_ == ShareWay::Local)
        return { request.rank_, static_cast<float>(std::max(0.0, host.tags_[request.workspace_] - host.virtualTime_)) };
    return sharesOf(host).claim(idOf(request.workspace_), request.rank_, now_);
}

std::size_t ShareFleet::firstOf(Host& host)
{
    std::size_t first = 0;
    Claim firstClaim;
    for (std::size_t one = 0; one < host.waiting_.size(); ++one) {
        const Claim claim = claimOf(host, host.waiting_[one]);
        if (one > 0 && claim >= firstClaim)
            continue;
        first = one;
        firstClaim = claim;
    }
    return first;
}

const ShareFleet::Published& ShareFleet::publishedOf(std::size_t at)
{
    Host& host = hosts_[at];
    const Duration interval = way_ == ShareWay::Optimum ? 0ms : shape_.publishInterval_;
    if (now_ - host.published_.at_ < interval)
        return host.published_;
    refuseOld(host);
    host.published_ = { now_, {}, !host.waiting_.empty() };
    // Hosts compare claims of the exchange only; a local tag means nothing at another host.
    if (!host.waiting_.empty() && way_ != ShareWay::Local)
        host.published_.claim_ = claimOf(host, host.waiting_[firstOf(host)]);
    return host.published_;
}

void ShareFleet::refuseOld(Host& host)
{
    const auto isOld = [&](const Waiting& one) { return now_ - one.at_ > shape_.patience_; };
    const auto kept = std::find_if_not(host.waiting_.begin(), host.waiting_.end(), isOld);
    host.waiting_.erase(host.waiting_.begin(), kept);
}

// ---- messages

std::optional<std::size_t> ShareFleet::delegateOf(std::size_t cell) const
{
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        if (cellOf(host) == cell && hosts_[host].isUp_ && !hosts_[host].isPaused_ && !hosts_[host].isCut_)
            return host;
    }
    return std::nullopt;
}

void ShareFleet::tick(std::size_t at)
{
    Event again;
    again.kind_ = Kind::Tick;
    again.host_ = at;
    push(again, tickInterval);
    Host& host = hosts_[at];
    if (!host.isUp_ || host.isPaused_)
        return;
    refuseOld(host);
    if (way_ != ShareWay::Exchanged)
        return;
    const std::size_t cell = cellOf(at);
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
        if (cellOf(other) == cell && hosts_[other].isUp_ && !hosts_[other].waiting_.empty() && (other == at || !host.isCut_)) {
            host.shares_->recordCompetition(now_);
            break;
        }
    }
    const auto delegate = delegateOf(cell);
    if (!delegate)
        return;
    if (*delegate != at) {
        if (auto report = host.shares_->nextReport(now_))
            send({ at, *delegate, std::move(report), std::nullopt });
        return;
    }
    const auto sums = host.shares_->nextSums(CellId(static_cast<std::uint32_t>(cell)), now_);
    if (!sums)
        return;
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
        if (other != at && cellOf(other) == cell && hosts_[other].isUp_)
            send({ at, other, std::nullopt, host.shares_->sumFor(NodeId(other + 1)) });
        else if (cellOf(other) != cell && delegateOf(cellOf(other)) == other)
            send({ at, other, std::nullopt, sums->ofCell_ });
    }
}

void ShareFleet::send(Message message)
{
    const double bytes = message.report_ ? bytesOf(*message.report_) : bytesOf(*message.sum_);
    hosts_[message.from_].sent_ += bytes;
    if (std::bernoulli_distribution(shape_.loss_)(random_) || hosts_[message.from_].isCut_ || hosts_[message.to_].isCut_)
        return;
    Event event;
    event.kind_ = Kind::Receive;
    event.host_ = message.to_;
    event.message_ = std::make_shared<const Message>(std::move(message));
    const int copies = std::bernoulli_distribution(shape_.duplicates_)(random_) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
        push(event, shape_.delay_ + Duration(static_cast<std::int64_t>(static_cast<double>(shape_.jitter_.count()) * std::uniform_real_distribution<double>(0, 1)(random_))));
}

void ShareFleet::receive(const Event& event)
{
    Host& host = hosts_[event.host_];
    if (!host.isUp_ || host.isPaused_)
        return;
    const Message& message = *event.message_;
    host.received_ += message.report_ ? bytesOf(*message.report_) : bytesOf(*message.sum_);
    if (message.report_)
        host.shares_->applyReport(*message.report_, now_);
    else
        host.shares_->applySum(*message.sum_, now_);
}

// ---- figures

void ShareFleet::advance(Duration time)
{
    const TimePoint until = now_ + time;
    while (!events_.empty() && events_.top().at_ <= until) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at_;
        switch (event.kind_) {
        case Kind::Arrival:
            arrive();
            break;
        case Kind::End:
            end(event);
            break;
        case Kind::Tick:
            tick(event.host_);
            break;
        case Kind::Receive:
            receive(event);
            break;
        }
    }
    now_ = until;
}

// Raises the level of all workspaces together; those that request less keep what they request.
std::vector<double> ShareFleet::maxMinShares() const
{
    std::vector<double> shares(demands_.size(), 0);
    std::vector<bool> isDone(demands_.size(), false);
    double left = slots() * (shape_.workspaces_ > demands_.size() ? 1 - backgroundLoad : 1);
    for (;;) {
        double weight = 0;
        for (std::size_t one = 0; one < demands_.size(); ++one)
            weight += isDone[one] ? 0 : weightOf(one);
        bool isChanged = false;
        const double level = weight > 0 ? left / weight : 0;
        for (std::size_t one = 0; one < demands_.size(); ++one) {
            if (isDone[one])
                continue;
            shares[one] = level * weightOf(one);
            if (demands_[one] > shares[one])
                continue;
            shares[one] = demands_[one];
            isDone[one] = true;
            isChanged = true;
            left -= demands_[one];
        }
        if (!isChanged)
            return shares;
    }
}

ShareFleet::Figures ShareFleet::take()
{
    Figures figures;
    const double seconds = toSeconds(now_ - takenAt_);
    const std::vector<double> shares = maxMinShares();
    double sum = 0;
    double squares = 0;
    std::size_t count = 0;
    double used = 0;
    figures.worst_ = 1e9;
    for (std::size_t one = 0; one < occupied_.size(); ++one) {
        occupied_[one].change(0, now_);
        used += occupied_[one].seconds_;
        if (one < shares.size() && shares[one] > 0) {
            const bool isSatisfied = shares[one] >= demands_[one];
            const double part = isSatisfied ? (arrived_[one] > 0 ? std::min(1.0, ran_[one] / arrived_[one]) : 1) : occupied_[one].seconds_ / seconds / shares[one];
            figures.worst_ = std::min(figures.worst_, part);
            figures.parts_.push_back(part);
            sum += part;
            squares += part * part;
            ++count;
        }
        occupied_[one].seconds_ = 0;
    }
    figures.jain_ = squares > 0 ? sum * sum / (squares * static_cast<double>(count)) : 0;
    figures.used_ = used / seconds / slots();
    const auto sumOfOthers = [&](const std::vector<double>& counts) { return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(demands_.size()), counts.end(), 0.0); };
    figures.background_ = sumOfOthers(arrived_) > 0 ? sumOfOthers(ran_) / sumOfOthers(arrived_) : 1;
    std::fill(arrived_.begin(), arrived_.end(), 0);
    std::fill(ran_.begin(), ran_.end(), 0);
    for (std::size_t rank = 0; rank < occupiedOfRank_.size(); ++rank) {
        occupiedOfRank_[rank].change(0, now_);
        figures.ofRank_[rank] = occupiedOfRank_[rank].seconds_ / seconds / slots();
        occupiedOfRank_[rank].seconds_ = 0;
    }
    for (Host& host : hosts_) {
        figures.sent_ += host.sent_ / seconds / static_cast<double>(hosts_.size());
        figures.busiestSent_ = std::max(figures.busiestSent_, host.sent_ / seconds);
        figures.busiestReceived_ = std::max(figures.busiestReceived_, host.received_ / seconds);
        host.sent_ = host.received_ = 0;
    }
    takenAt_ = now_;
    return figures;
}

Duration ShareFleet::timeToFairness(double bound, Duration step, Duration limit)
{
    take();
    int good = 0;
    for (Duration time = step; time <= limit; time += step) {
        advance(step);
        good = take().jain_ >= bound ? good + 1 : 0;
        if (good == 2)
            return time - step;
    }
    return limit;
}

} // namespace jj
