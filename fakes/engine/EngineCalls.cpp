// The engine stand-in's calls beside streams: KV state, reports, orders, faults.
#include "EngineService.h"
#include "standin/StandIn.h"

namespace jj {

namespace json = boost::json;
using namespace standin;

namespace {

    constexpr std::string_view streamsPath = "/v1/streams/";
    constexpr std::string_view kvPath = "/v1/kv/";

    json::object kvObject(const KvExport& state)
    {
        return { { "handle", idText(state.handle_.value()) }, { "bytes", state.bytes_ }, { "position", state.position_ }, { "tokens", state.tokens_ } };
    }

    std::optional<KvExport> readKv(std::string_view body)
    {
        const auto object = parseObject(body);
        if (!object)
            return std::nullopt;
        const auto handle = idFromText(textOr(*object, "handle", ""));
        if (!handle)
            return std::nullopt;
        KvExport state;
        state.handle_ = KvHandle(*handle);
        state.bytes_ = integerOr(*object, "bytes", 0);
        state.position_ = static_cast<int>(integerOr(*object, "position", 0));
        state.tokens_ = static_cast<int>(integerOr(*object, "tokens", 0));
        return state;
    }

    std::optional<OrderKind> orderKindFrom(std::string_view name)
    {
        if (name == "loadModel")
            return OrderKind::LoadModel;
        if (name == "loadAdapter")
            return OrderKind::LoadAdapter;
        if (name == "unloadAdapter")
            return OrderKind::UnloadAdapter;
        if (name == "setRole")
            return OrderKind::SetRole;
        return std::nullopt;
    }

    http::Response unknownHandle() { return http::errorResponse(404, "engine.UnknownHandle", "no KV state under this handle", RunState::NotRun); }
    http::Response badRequest() { return http::errorResponse(400, "engine.BadRequest", "the body can't be read", RunState::NotRun); }

} // namespace

void EngineService::handle(const ExchangePtr& exchange)
{
    advance();
    route(exchange);
    // Steps that take no time are due at once.
    if (model_.nextStepAt() <= clock_.now())
        advance();
    arm();
}

void EngineService::route(const ExchangePtr& exchange)
{
    const std::string& method = exchange->request().method_;
    const std::string_view path = exchange->request().path();
    const bool isPost = method == "POST";
    if (isPost && path == "/fakes/faults")
        return faults(exchange);
    if (model_.isDown())
        return exchange->abort();
    if (isPost && path == "/v1/chat/completions")
        return chat(exchange);
    if (method == "DELETE" && path.starts_with(streamsPath))
        return cancelNamed(exchange, std::string(path.substr(streamsPath.size())));
    if (isPost && path == "/v1/kv/export")
        return exportKv(exchange);
    if (isPost && path == "/v1/kv/import")
        return importKv(exchange);
    if (path.starts_with(kvPath))
        return giveKv(exchange, path.substr(kvPath.size()));
    if (path == "/v1/load")
        return load(exchange);
    if (path == "/v1/cache/events")
        return cacheEvents(exchange);
    if (isPost && path == "/v1/orders")
        return order(exchange);
    if (path == "/v1/state")
        return state(exchange);
    if (path == "/healthz")
        return exchange->respond({ 200, {}, "ok\n" });
    exchange->respond(http::errorResponse(404, "engine.UnknownPath", "no such call", RunState::NotRun));
}

void EngineService::exportKv(const ExchangePtr& exchange)
{
    const auto body = parseObject(exchange->request().body_);
    const auto found = body ? names_.find(textOr(*body, "stream", "")) : names_.end();
    if (found == names_.end())
        return exchange->respond(http::errorResponse(404, "engine.UnknownStream", "no open stream has this id", RunState::NotRun));
    const StreamId stream = found->second;
    const auto state = model_.exportKv(stream, clock_.now());
    if (!state)
        return exchange->respond(http::errorResponse(409, "engine.BadPosition", state.error().message(), RunState::NotRun));
    const ExchangePtr caller = live_.at(stream).exchange_;
    drop(stream);
    caller->abort();
    exchange->respond(jsonResponse(200, kvObject(state.value())));
}

void EngineService::giveKv(const ExchangePtr& exchange, std::string_view handle)
{
    const auto id = idFromText(handle);
    const auto state = id ? model_.keptKv(KvHandle(*id)) : Result<KvExport>(EngineError::UnknownHandle);
    exchange->respond(state ? jsonResponse(200, kvObject(state.value())) : unknownHandle());
}

void EngineService::importKv(const ExchangePtr& exchange)
{
    const auto body = parseObject(exchange->request().body_);
    const auto source = body ? parseEndpoint(textOr(*body, "from", "")) : Result<Endpoint>(BaseError::BadNumber);
    if (!source)
        return exchange->respond(badRequest());
    const http::Request request { "GET", std::string(kvPath) + textOr(*body, "handle", ""), {}, {} };
    client_.fetch(source.value(), request, {}, [this, exchange](const Result<http::Response>& response, RunState) {
        const auto state = response && response.value().status_ == 200 ? readKv(response.value().body_) : std::nullopt;
        if (!state)
            return exchange->respond(unknownHandle());
        model_.importKv(*state);
        exchange->respond(jsonResponse(200, kvObject(*state)));
    });
}

void EngineService::load(const ExchangePtr& exchange)
{
    const TimePoint now = clock_.now();
    const LoadReport report = model_.load(now);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - report.at_);
    exchange->respond(jsonResponse(200, json::object { { "at", (clock_.wallNow() - age).time_since_epoch().count() }, { "running", report.running_ }, { "waiting", report.waiting_ }, { "kvUsed", report.kvUsed_ }, { "kvTotal", report.kvTotal_ }, { "stepMs", toMilliseconds(report.step_) }, { "leaving", report.leaving_ } }));
}

void EngineService::cacheEvents(const ExchangePtr& exchange)
{
    const std::string from = exchange->request().query("from");
    std::vector<CacheEvent> events;
    const std::uint64_t next = model_.cacheEvents(std::strtoull(from.c_str(), nullptr, 10), clock_.now(), events);
    json::array list;
    list.reserve(events.size());
    for (const CacheEvent& event : events)
        list.push_back(json::object { { "seq", event.sequence_ }, { "prefix", idText(event.prefix_.value()) }, { "kind", event.kind_ == CacheEventKind::Stored ? "stored" : "evicted" } });
    exchange->respond(jsonResponse(200, json::object { { "next", next }, { "events", std::move(list) } }));
}

void EngineService::order(const ExchangePtr& exchange)
{
    const auto body = parseObject(exchange->request().body_);
    const auto kind = body ? orderKindFrom(textOr(*body, "order", "")) : std::nullopt;
    if (!kind)
        return exchange->respond(badRequest());
    EngineOrder order;
    order.kind_ = *kind;
    order.name_ = textOr(*body, "name", "");
    order.version_ = textOr(*body, "version", "");
    if (const std::int64_t fencing = integerOr(*body, "fencing", -1); fencing >= 0)
        order.fencing_ = Epoch(static_cast<std::uint64_t>(fencing));
    if (const std::int64_t expires = integerOr(*body, "expiresMs", -1); expires >= 0)
        order.expiry_ = WallTime(std::chrono::milliseconds(expires));
    const auto done = orders_.apply(order, clock_.wallNow());
    record(done ? EventKind::OrderDone : EventKind::OrderRefused, order.name_, done ? "" : done.error().message());
    if (done)
        return exchange->respond(jsonResponse(200, json::object { { "fencing", orders_.state().fencing_.value() } }));
    if (done.error() == EngineError::OrderExpired)
        return exchange->respond(http::errorResponse(410, "engine.OrderExpired", done.error().message(), RunState::NotRun));
    exchange->respond(jsonResponse(409, json::object { { "fencing", orders_.state().fencing_.value() } }));
}

void EngineService::state(const ExchangePtr& exchange)
{
    const LoadedState& now = orders_.state();
    json::object adapters;
    for (const auto& [name, version] : now.adapters_)
        adapters[name] = version;
    exchange->respond(jsonResponse(200, json::object { { "model", now.model_ }, { "version", now.version_ }, { "adapters", std::move(adapters) }, { "role", now.role_ }, { "fencing", now.fencing_.value() }, { "ordersDone", now.ordersDone_ } }));
}

void EngineService::faults(const ExchangePtr& exchange)
{
    const auto body = parseObject(exchange->request().body_);
    if (!body)
        return exchange->respond(badRequest());
    EngineFaults faults = model_.faults();
    faults.hangAfter_ = static_cast<int>(integerOr(*body, "hangAfter", faults.hangAfter_));
    faults.slowFactor_ = numberOr(*body, "slowFactor", faults.slowFactor_);
    faults.refuse_ = flagOr(*body, "refuse", faults.refuse_);
    leaving_ = flagOr(*body, "leaving", leaving_);
    model_.setLeaving(leaving_);
    model_.setFaults(faults, clock_.now());
    if (flagOr(*body, "silence", false))
        model_.silenceOpenStreams();
    record(EventKind::FaultSet, exchange->request().body_);
    exchange->respond(jsonResponse(200, json::object { { "hangAfter", faults.hangAfter_ }, { "slowFactor", faults.slowFactor_ }, { "refuse", faults.refuse_ }, { "leaving", leaving_ }, { "running", model_.running() }, { "waiting", model_.waiting() }, { "kvUsed", model_.kvUsed() } }));
}

} // namespace jj
