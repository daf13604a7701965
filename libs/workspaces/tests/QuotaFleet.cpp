// A single queue of timed events; each host ticks every 20 ms.
#include "QuotaFleet.h"

#include <algorithm>
#include <cmath>

namespace jj {

namespace {

    constexpr Duration tickPeriod = 20ms;
    constexpr Duration settleTime = 3s;
    // Sizes on the wire: a header with the authentication code, and each entry.
    constexpr std::uint64_t messageBytes = 28 + 37;
    constexpr std::uint64_t entryBytes = 24;

    std::uint64_t entriesOf(const QuotaReport& report) { return report.counts_.size(); }
    std::uint64_t entriesOf(const AdmissionRequest&) { return 1; }
    std::uint64_t entriesOf(const AdmissionDecision&) { return 1; }
    std::uint64_t entriesOf(const QuotaNotice& notice) { return notice.scarce_.size() + notice.ample_.size(); }

    // Returns how many of the arrivals after `from` one bucket for the whole fleet would admit.
    std::uint64_t owedOf(const std::vector<TimePoint>& arrived, const Quota& quota, TimePoint from)
    {
        double tokens = quota.burst_;
        std::uint64_t owed = 0;
        TimePoint last = arrived.empty() ? TimePoint() : arrived.front();
        for (const TimePoint at : arrived) {
            tokens = std::min(quota.burst_, tokens + toSeconds(at - last) * quota.perSecond_);
            last = at;
            if (tokens < 1)
                continue;
            tokens -= 1;
            owed += at >= from ? 1 : 0;
        }
        return owed;
    }

} // namespace

QuotaFleet::QuotaFleet(const QuotaFleetShape& shape, const QuotaSettings& settings, std::uint64_t seed)
    : shape_(shape)
    , settings_(settings)
    , random_(seed)
{
    for (std::size_t index = 0; index < shape.hosts_; ++index) {
        Host& host = *hosts_.emplace_back(std::make_unique<Host>());
        host.node_ = NodeId(mixHash(seed, index) >> 1U);
        host.region_ = index % shape.regions_;
    }
    for (std::size_t index = 0; index < shape.hosts_; ++index)
        restart(index);
}

// ---- workspaces

std::size_t QuotaFleet::addWorkspace(double arrivalsPerSecond, const Quota& quota)
{
    Simulated one;
    one.workspace_.name_ = "workspace-" + std::to_string(workspaces_.size());
    one.workspace_.quota_ = quota;
    one.arrivalsPerSecond_ = arrivalsPerSecond;
    workspaces_.push_back(std::move(one));
    applyTable();
    scheduleArrival(workspaces_.size() - 1);
    return workspaces_.size() - 1;
}

void QuotaFleet::addWorkspaces(std::size_t count, double arrivalsPerSecond, double headroom)
{
    constexpr double skew = 0.7;
    double weights = 0;
    for (std::size_t rank = 0; rank < count; ++rank)
        weights += std::pow(static_cast<double>(rank + 1), -skew);
    for (std::size_t rank = 0; rank < count; ++rank) {
        Simulated one;
        one.workspace_.name_ = "workspace-" + std::to_string(workspaces_.size());
        one.arrivalsPerSecond_ = arrivalsPerSecond * std::pow(static_cast<double>(rank + 1), -skew) / weights;
        const double perSecond = std::max(1.0, std::ceil(headroom * one.arrivalsPerSecond_));
        one.workspace_.quota_ = { perSecond, perSecond };
        workspaces_.push_back(std::move(one));
    }
    applyTable();
    for (std::size_t row = workspaces_.size() - count; row < workspaces_.size(); ++row)
        scheduleArrival(row);
}

void QuotaFleet::setQuota(std::size_t workspace, const Quota& quota)
{
    workspaces_[workspace].workspace_.quota_ = quota;
    applyTable();
}

void QuotaFleet::applyTable()
{
    std::vector<Workspace> rows;
    for (const Simulated& one : workspaces_)
        rows.push_back(one.workspace_);
    tables_.push_back(std::make_unique<WorkspaceTable>(WorkspaceTable::create(std::move(rows)).value()));
    for (const auto& host : hosts_) {
        if (host->isUp_)
            host->accountant_->setWorkspaces(tables_.back().get(), now_);
    }
}

// ---- hosts

void QuotaFleet::markReachability(Host& host, bool wasReachable)
{
    if (isReachable(host) == wasReachable)
        return;
    (wasReachable ? host.unreachableSince_ : host.reachableSince_) = now_;
}

void QuotaFleet::kill(std::size_t index)
{
    Host& host = *hosts_[index];
    const bool wasReachable = isReachable(host);
    host.isUp_ = false;
    host.gate_ = nullptr;
    host.accountant_ = nullptr;
    host.heldBack_.clear();
    markReachability(host, wasReachable);
}

void QuotaFleet::restart(std::size_t index)
{
    Host& host = *hosts_[index];
    const bool wasReachable = isReachable(host);
    host.isUp_ = true;
    host.incarnation_ = Incarnation(host.incarnation_.value() + 1);
    host.accountant_ = std::make_unique<QuotaAccountant>(settings_);
    host.accountant_->setWorkspaces(tables_.empty() ? nullptr : tables_.back().get(), now_);
    host.gate_ = std::make_unique<QuotaGate>(settings_, host.node_, host.incarnation_, outletsOf(index), now_);
    markReachability(host, wasReachable);
    const Incarnation incarnation = host.incarnation_;
    schedule(tickPeriod * static_cast<Duration::rep>(index) / static_cast<Duration::rep>(hosts_.size()), [this, index, incarnation] {
        if (hosts_[index]->incarnation_ == incarnation)
            tick(index);
    });
}

void QuotaFleet::freeze(std::size_t index, bool isFrozen)
{
    Host& host = *hosts_[index];
    const bool wasReachable = isReachable(host);
    host.isFrozen_ = isFrozen;
    markReachability(host, wasReachable);
    if (isFrozen)
        return;
    for (const auto& work : std::exchange(host.heldBack_, {}))
        work();
}

void QuotaFleet::cut(std::size_t index, bool isCut)
{
    Host& host = *hosts_[index];
    const bool wasReachable = isReachable(host);
    host.isCut_ = isCut;
    markReachability(host, wasReachable);
}

std::vector<AccountantCandidate> QuotaFleet::candidatesOf(std::size_t own) const
{
    std::vector<AccountantCandidate> candidates;
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        const Host& host = *hosts_[index];
        // A host that is cut off itself takes all others for down after the detection time.
        const bool isOwnCut = hosts_[own]->isCut_ && now_ - hosts_[own]->unreachableSince_ > shape_.detectionTime_;
        const bool isKnownDown = !isReachable(host) && now_ - host.unreachableSince_ > shape_.detectionTime_;
        if (index == own || (!isOwnCut && !isKnownDown))
            candidates.push_back({ host.node_, isReachable(host) && now_ - host.reachableSince_ >= settleTime });
    }
    return candidates;
}

QuotaOutlets QuotaFleet::outletsOf(std::size_t index)
{
    QuotaOutlets outlets;
    outlets.accountantsOf_ = [this, index](WorkspaceId workspace) { return chooseAccountants(workspace, candidatesOf(index), settings_.accountants_); };
    outlets.hosts_ = [this] { return hosts_.size(); };
    outlets.sendReport_ = [this, index](NodeId to, const QuotaReport& report) { send(index, to, report); };
    outlets.sendRequest_ = [this, index](NodeId to, const AdmissionRequest& request) { send(index, to, request); };
    return outlets;
}

void QuotaFleet::tick(std::size_t index)
{
    Host& host = *hosts_[index];
    if (!host.isUp_)
        return;
    const Incarnation incarnation = host.incarnation_;
    schedule(tickPeriod, [this, index, incarnation] {
        if (hosts_[index]->incarnation_ == incarnation)
            tick(index);
    });
    if (host.isFrozen_)
        return;
    const double reached = static_cast<double>(candidatesOf(index).size()) / static_cast<double>(hosts_.size());
    host.accountant_->setShare(reached < settings_.isolatedBelow_ ? reached : 1);
    host.gate_->tick(now_);
    const auto notice = host.accountant_->takeNotice(now_);
    if (!notice)
        return;
    for (const auto& other : hosts_)
        send(index, other->node_, *notice);
}

// ---- messages

void QuotaFleet::send(std::size_t from, NodeId to, const Message& message)
{
    const auto target = std::find_if(hosts_.begin(), hosts_.end(), [to](const auto& host) { return host->node_ == to; });
    const auto index = static_cast<std::size_t>(target - hosts_.begin());
    if (index == from)
        return receive(index, message);
    ++datagrams_;
    bytes_ += messageBytes + entryBytes * std::visit([](const auto& one) { return entriesOf(one); }, message);
    if (hosts_[from]->isCut_ || hosts_[index]->isCut_ || draw(shape_.loss_))
        return;
    const bool isLocal = hosts_[from]->region_ == hosts_[index]->region_;
    schedule(isLocal ? shape_.localDelay_ : shape_.regionDelay_, [this, index, message] { receive(index, message); });
}

void QuotaFleet::receive(std::size_t index, const Message& message)
{
    Host& host = *hosts_[index];
    if (!host.isUp_)
        return;
    if (host.isFrozen_)
        return host.heldBack_.push_back([this, index, message] { receive(index, message); });
    if (const auto* report = std::get_if<QuotaReport>(&message))
        host.accountant_->handle(*report, now_);
    else if (const auto* request = std::get_if<AdmissionRequest>(&message))
        send(index, request->from_, host.accountant_->decide(*request, now_));
    else if (const auto* decision = std::get_if<AdmissionDecision>(&message))
        host.gate_->handle(*decision, now_);
    else
        host.gate_->handle(std::get<QuotaNotice>(message), now_);
}

// ---- requests

void QuotaFleet::scheduleArrival(std::size_t row)
{
    const double perSecond = workspaces_[row].arrivalsPerSecond_ * workspaces_[row].load_ * load_;
    constexpr double longestWait = 0.05; // so that a change of the load takes effect
    const double wait = perSecond > 0 ? std::exponential_distribution<double>(perSecond)(random_) : longestWait;
    schedule(fromSeconds(std::min(wait, longestWait)), [this, row, arrives = wait <= longestWait] {
        if (arrives)
            arrive(row, std::uniform_int_distribution<std::size_t>(0, hosts_.size() - 1)(random_));
        scheduleArrival(row);
    });
}

void QuotaFleet::arrive(std::size_t row, std::size_t index)
{
    Host& host = *hosts_[index];
    if (!host.isUp_)
        return; // the caller can't connect
    if (host.isFrozen_)
        return host.heldBack_.push_back([this, row, index] { arrive(row, index); });
    Simulated& one = workspaces_[row];
    one.arrived_.push_back(now_);
    const WorkspaceId id = one.workspace_.id();
    host.gate_->admit(id, one.workspace_.quota_, now_, [this, row, index, id](const QuotaGate::Answer& answer, TimePoint at) {
        if (!answer.isAdmitted_)
            return;
        if (draw(returnedShare_))
            return hosts_[index]->gate_->returnCredit(id, at);
        workspaces_[row].ran_.push_back(at);
    });
}

void QuotaFleet::advance(Duration time)
{
    const TimePoint end = now_ + time;
    while (!events_.empty() && events_.top().at_ <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at_;
        event.work_();
    }
    now_ = end;
}

// ---- the oracle

double QuotaFleet::worstWindow(std::size_t row, TimePoint from) const
{
    const Simulated& one = workspaces_[row];
    const Quota& quota = one.workspace_.quota_;
    const double bound = quota.perSecond_ * toSeconds(settings_.bound_.window_) + quota.burst_ + settings_.bound_.allowanceOf(quota);
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < one.ran_.size(); ++last) {
        while (one.ran_[first] < from || one.ran_[last] - one.ran_[first] > settings_.bound_.window_) {
            if (first == last)
                break;
            ++first;
        }
        if (one.ran_[first] >= from)
            most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most) / bound;
}

QuotaFleet::Report QuotaFleet::report(TimePoint from) const
{
    constexpr std::uint64_t enoughRequests = 50;
    Report report;
    std::uint64_t refusedOfOwed = 0;
    for (std::size_t row = 0; row < workspaces_.size(); ++row) {
        const Simulated& one = workspaces_[row];
        const auto since = [from](const std::vector<TimePoint>& times) { return static_cast<std::uint64_t>(std::count_if(times.begin(), times.end(), [from](TimePoint at) { return at >= from; })); };
        const std::uint64_t owed = owedOf(one.arrived_, one.workspace_.quota_, from);
        const std::uint64_t ran = since(one.ran_);
        const std::uint64_t refused = owed - std::min(owed, ran);
        report.arrived_ += since(one.arrived_);
        report.owed_ += owed;
        report.ran_ += ran;
        refusedOfOwed += refused;
        if (owed >= enoughRequests)
            report.worstRefusedShare_ = std::max(report.worstRefusedShare_, static_cast<double>(refused) / static_cast<double>(owed));
        const double window = worstWindow(row, from);
        if (window > report.worstWindow_) {
            report.worstWindow_ = window;
            report.worstWorkspace_ = one.workspace_.name_;
        }
    }
    report.refusedShare_ = static_cast<double>(refusedOfOwed) / static_cast<double>(std::max<std::uint64_t>(report.owed_, 1));
    const double hostSeconds = static_cast<double>(hosts_.size()) * toSeconds(now_ - startedAt_);
    report.datagramsPerHostSecond_ = static_cast<double>(datagrams_) / hostSeconds;
    report.bytesPerHostSecond_ = static_cast<double>(bytes_) / hostSeconds;
    for (const auto& host : hosts_) {
        if (!host->gate_)
            continue;
        report.totals_.admitted_ += host->gate_->totals().admitted_;
        report.totals_.requested_ += host->gate_->totals().requested_;
        report.totals_.refused_ += host->gate_->totals().refused_;
        report.totals_.unanswered_ += host->gate_->totals().unanswered_;
    }
    return report;
}

std::size_t QuotaFleet::accountsOfBusiestHost() const
{
    std::size_t most = 0;
    for (const auto& host : hosts_)
        most = std::max(most, host->accountant_ ? host->accountant_->accounts() : 0);
    return most;
}

} // namespace jj
