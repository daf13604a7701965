// The core: one node's two roles over the same view of the fleet.
#include "decisions/Decisions.h"

#include "EntryRole.h"
#include "HomeRole.h"

namespace jj {

namespace {

    class DecisionsCategory : public std::error_category {
    public:
        const char* name() const noexcept override { return "jj.decisions"; }
        std::string message(int code) const override
        {
            switch (static_cast<DecisionsError>(code)) {
            case DecisionsError::NoSelf:
                return "settings name no node or region";
            }
            return "unknown";
        }
    };

} // namespace

std::error_code make_error_code(DecisionsError error)
{
    static const DecisionsCategory category;
    return { static_cast<int>(error), category };
}

struct Decisions::Parts {
    explicit Parts(const DecisionsSettings& settings)
        : fleet_(settings)
        , router_(fleet_)
        , entry_(fleet_, router_, quarantine_)
        , home_(fleet_, quarantine_)
    {
    }

    // ---- entry role
    void on(const RequestArrived& event, TimePoint now, Commands& out) { entry_.arrive(event.spec_, now, out); }
    void on(const RequestCancelled& event, TimePoint now, Commands& out)
    {
        // One node can be both: its entry then sends CancelAtHome to itself, which comes back here.
        if (!entry_.cancel(event.request_, now, out))
            home_.cancel(event.request_, now, out);
    }
    void on(const HandedBack& event, TimePoint now, Commands& out) { entry_.handedBack(event, now, out); }
    void on(const HomeLost& event, TimePoint now, Commands& out) { entry_.homeLost(event, now, out); }
    void on(const JobPace& event, TimePoint now, Commands&) { entry_.apply(event, now); }
    void on(const JobEnded& event, TimePoint, Commands&) { entry_.apply(event); }

    // ---- home role
    void on(const HandedOver& event, TimePoint now, Commands& out) { home_.handedOver(event, now, out); }
    void on(const AttemptsProgressed& event, TimePoint now, Commands& out) { home_.progressed(event, now, out); }
    void on(const AttemptFinished& event, TimePoint now, Commands& out) { home_.finished(event, now, out); }
    void on(const AttemptFailed& event, TimePoint now, Commands& out) { home_.failed(event, now, out); }
    void on(const ProbeEnded& event, TimePoint now, Commands& out) { home_.probeEnded(event, now, out); }

    // ---- both
    void on(const UpstreamChanged& event, TimePoint now, Commands& out)
    {
        fleet_.apply(event);
        home_.upstreamChanged(event, now, out);
    }
    void on(const EngineReported& event, TimePoint, Commands&) { fleet_.apply(event); }
    void on(const CacheChanged& event, TimePoint now, Commands&) { router_.apply(event, now); }
    void on(const HomeReported& event, TimePoint now, Commands& out)
    {
        fleet_.apply(event);
        entry_.feedBatch(now, out);
    }
    void on(const NodeChanged& event, TimePoint now, Commands&) { fleet_.apply(event, now); }
    void on(const LinkChanged& event, TimePoint, Commands&) { fleet_.apply(event); }
    void on(const FingerprintLearned& event, TimePoint now, Commands& out)
    {
        quarantine_.learn(event.fingerprint_, event.crashes_, event.lastUpstream_, now);
        home_.learned(event, now, out);
    }
    void on(const ConfigurationApplied& event, TimePoint, Commands&) { fleet_.apply(event); }

    Fleet fleet_;
    Quarantine quarantine_;
    Router router_;
    EntryRole entry_;
    HomeRole home_;
};

Result<Decisions> Decisions::create(const DecisionsSettings& settings)
{
    if (settings.self_.isNone() || settings.region_.isNone())
        return make_error_code(DecisionsError::NoSelf);
    return Decisions(std::make_unique<Parts>(settings));
}

Decisions::Decisions(std::unique_ptr<Parts> parts)
    : parts_(std::move(parts))
{
}

Decisions::Decisions(Decisions&&) noexcept = default;
Decisions& Decisions::operator=(Decisions&&) noexcept = default;
Decisions::~Decisions() = default;

void Decisions::handle(const Event& event, TimePoint now, Commands& out)
{
    std::visit([&](const auto& value) { parts_->on(value, now, out); }, event);
}

void Decisions::tick(TimePoint now, Commands& out)
{
    parts_->fleet_.tick(now);
    parts_->home_.tick(now, out);
    parts_->entry_.tick(now, out);
}

Decisions::Counts Decisions::counts() const
{
    Counts counts;
    counts.entryRequests_ = parts_->entry_.size();
    counts.homeQueued_ = parts_->home_.queued();
    counts.homeRunning_ = parts_->home_.running();
    counts.yields_ = parts_->home_.yields();
    counts.retries_ = parts_->entry_.retries();
    counts.refusals_ = parts_->entry_.refusals();
    return counts;
}

NodeId Decisions::homeOf(UpstreamId upstream) const
{
    const UpstreamView* view = parts_->fleet_.view(upstream);
    return view ? view->home_ : NodeId::none();
}

} // namespace jj
