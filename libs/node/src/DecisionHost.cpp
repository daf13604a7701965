// Commands are carried out in the turn that gave them, in their order.
#include "DecisionHost.h"

namespace jj {

DecisionHost::DecisionHost(Decisions core, RequestPlane& plane, DecisionOutlets outlets)
    : core_(std::move(core))
    , plane_(plane)
    , outlets_(std::move(outlets))
{
}

Result<std::unique_ptr<DecisionHost>> DecisionHost::create(Runtime& runtime, const DecisionsSettings& settings, Duration tick, RequestPlane& plane, DecisionOutlets outlets)
{
    BOOST_OUTCOME_TRY(auto core, Decisions::create(settings));
    std::unique_ptr<DecisionHost> host(new DecisionHost(std::move(core), plane, std::move(outlets)));
    host->actor_ = runtime.spawn(tick, [raw = host.get()](TimePoint now) { raw->onTick(now); });
    return host;
}

void DecisionHost::feed(Event event)
{
    actor_.post([this, event = std::move(event)](TimePoint now) {
        core_.handle(event, now, commands_);
        performAll();
    });
}

void DecisionHost::onTick(TimePoint now)
{
    if (const auto progress = plane_.takeProgress())
        core_.handle(*progress, now, commands_);
    core_.tick(now, commands_);
    performAll();
    const std::lock_guard lock(countsLock_);
    counts_ = core_.counts();
}

void DecisionHost::performAll()
{
    for (const Command& command : commands_)
        std::visit([this](const auto& one) { perform(one); }, command);
    commands_.clear();
}

// A node routes to its own engines by the same reports as its peers do: without its own report the only node of a region would see no
// room for batch at the engines beside it, and its jobs would never start.
void DecisionHost::perform(const ShareLoad& command)
{
    outlets_.shareLoad_(command.loads_);
    feed(HomeReported { command.loads_ });
}

Decisions::Counts DecisionHost::counts() const
{
    const std::lock_guard lock(countsLock_);
    return counts_;
}

} // namespace jj
