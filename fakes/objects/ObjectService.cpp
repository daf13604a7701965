// Calls of the object API in HTTP.
#include "ObjectService.h"

#include "standin/StandIn.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <charconv>
#include <cmath>

namespace jj {

namespace json = boost::json;
using namespace standin;

namespace {

    constexpr std::string_view objectsPath = "/v1/objects/";
    constexpr auto bookmarkPeriod = std::chrono::seconds(1);

    std::string etagOf(ObjectVersion version) { return '"' + std::to_string(version.value()) + '"'; }

    std::optional<std::uint64_t> numberFrom(std::string_view text)
    {
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (text.empty() || error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    ObjectVersion versionFromEtag(std::string_view etag)
    {
        if (etag.size() >= 2 && etag.front() == '"' && etag.back() == '"')
            etag = etag.substr(1, etag.size() - 2);
        const auto number = numberFrom(etag);
        // A tag that no version has: the condition fails, as it should.
        return number ? ObjectVersion(*number) : ObjectVersion(0);
    }

    ObjectCall callFrom(const http::Request& request, std::string key)
    {
        const std::string_view match = request.headers_.find("If-Match");
        if (request.method_ == "DELETE")
            return ObjectCall::remove(std::move(key), match.empty() ? ObjectVersion::none() : versionFromEtag(match));
        if (request.method_ != "PUT")
            return ObjectCall::get(std::move(key));
        if (request.headers_.find("If-None-Match") == "*")
            return ObjectCall::create(std::move(key), request.body_);
        if (!match.empty())
            return ObjectCall::update(std::move(key), request.body_, versionFromEtag(match));
        return ObjectCall::put(std::move(key), request.body_);
    }

    int statusOf(std::error_code error)
    {
        switch (static_cast<ObjectError>(error.value())) {
        case ObjectError::Conflict:
            return 412;
        case ObjectError::NotFound:
            return 404;
        case ObjectError::TooLarge:
            return 413;
        case ObjectError::RateLimited:
            return 429;
        case ObjectError::Unavailable:
        case ObjectError::OutcomeUnknown:
            return 503;
        case ObjectError::Expired:
            return 410;
        case ObjectError::BadCall:
            return 400;
        }
        return 400;
    }

    http::Response failure(const ObjectAnswer& answer)
    {
        http::Response response { statusOf(answer.error_), {}, answer.error_.message() };
        if (!answer.version_.isNone())
            response.headers_.add("ETag", etagOf(answer.version_));
        if (answer.retryAfter_ > Duration::zero())
            response.headers_.add("Retry-After", std::to_string(static_cast<int>(std::ceil(toSeconds(answer.retryAfter_)))));
        return response;
    }

    std::string watchLine(const ObjectChange& change)
    {
        json::object line = { { "version", change.version_.value() } };
        if (change.kind_ == ChangeKind::Bookmark)
            line["type"] = "bookmark";
        else
            line["type"] = change.kind_ == ChangeKind::Put ? "put" : "delete";
        if (change.kind_ != ChangeKind::Bookmark)
            line["key"] = change.key_;
        if (change.kind_ == ChangeKind::Put)
            line["value"] = toBase64(change.value_);
        return json::serialize(line) + '\n';
    }

} // namespace

ObjectService::ObjectService(boost::asio::io_context& io, MemoryStore& store, Journal& journal, std::uint64_t seed)
    : io_(io)
    , bookmarks_(io)
    , store_(store)
    , journal_(journal)
    , random_(seed)
{
    armBookmarks();
}

void ObjectService::handle(const ExchangePtr& exchange)
{
    const http::Request& request = exchange->request();
    const std::string_view path = request.path();
    if (path == "/fakes/faults")
        return faults(exchange);
    if (path == "/fakes/hosts")
        return setHosts(exchange);
    if (path == "/fakes/counts")
        return counts(exchange);
    if (path == "/healthz")
        return exchange->respond({ 200, {}, "ok\n" });
    if (faults_.silent_)
        return unanswered_.push_back(exchange);
    if (happens(faults_.loseCalls_))
        return exchange->abort();
    if (path.starts_with(objectsPath))
        return object(exchange, std::string(path.substr(objectsPath.size())));
    if (path == "/v1/objects")
        return list(exchange);
    if (path == "/v1/watch")
        return watch(exchange);
    if (path == "/v1/hosts")
        return hosts(exchange);
    exchange->respond({ 404, {}, "no such call\n" });
}

bool ObjectService::happens(double share) { return share > 0 && std::bernoulli_distribution(share)(random_); }

void ObjectService::answer(const ExchangePtr& exchange, http::Response response)
{
    if (faults_.delay_.count() == 0)
        return exchange->respond(response);
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, faults_.delay_);
    timer->async_wait([timer, exchange, response = std::move(response)](boost::system::error_code) { exchange->respond(response); });
}

void ObjectService::object(const ExchangePtr& exchange, std::string key)
{
    const ObjectCall call = callFrom(exchange->request(), std::move(key));
    const bool wasThere = store_.objects().contains(call.key_);
    const ObjectAnswer result = store_.apply(call, clock_.now());
    if (!result.ok())
        return answer(exchange, failure(result));
    if (call.isWrite()) {
        journal_.append(call);
        pumpAll();
        if (happens(faults_.loseAnswers_))
            return exchange->abort();
    }
    http::Response response { 200, {}, {} };
    if (call.verb_ == ObjectVerb::Remove)
        response.status_ = 204;
    else if (call.isWrite() && !wasThere)
        response.status_ = 201;
    if (call.verb_ != ObjectVerb::Remove)
        response.headers_.add("ETag", etagOf(result.version_));
    if (call.verb_ == ObjectVerb::Get) {
        response.headers_.add("Content-Type", "application/octet-stream");
        response.body_ = result.value_;
    }
    answer(exchange, std::move(response));
}

void ObjectService::list(const ExchangePtr& exchange)
{
    const http::Request& request = exchange->request();
    const bool withValues = request.query("values") == "1";
    const auto limit = numberFrom(request.query("limit"));
    const ObjectCall call = ObjectCall::list(request.query("prefix"), withValues, request.query("after"), static_cast<std::uint32_t>(limit.value_or(0)));
    const ObjectAnswer result = store_.apply(call, clock_.now());
    if (!result.ok())
        return answer(exchange, failure(result));
    json::array items;
    for (const ObjectEntry& entry : result.entries_) {
        json::object item = { { "key", entry.key_ }, { "version", entry.version_.value() }, { "size", entry.size_ } };
        if (withValues)
            item["value"] = toBase64(entry.value_);
        items.push_back(std::move(item));
    }
    json::object body = { { "version", result.version_.value() }, { "items", std::move(items) }, { "next", nullptr } };
    if (!result.next_.empty())
        body["next"] = result.next_;
    answer(exchange, jsonResponse(200, body));
}

void ObjectService::watch(const ExchangePtr& exchange)
{
    const http::Request& request = exchange->request();
    const auto from = numberFrom(request.query("from"));
    if (!from)
        return exchange->respond({ 400, {}, "a watch needs from=VERSION\n" });
    if (const auto error = store_.openWatch(ObjectVersion(*from), clock_.now())) {
        ObjectAnswer refused;
        refused.error_ = error;
        return answer(exchange, failure(refused));
    }
    exchange->start(200, { { "Content-Type", "application/x-ndjson" } });
    Watcher watcher { exchange, request.query("prefix"), ObjectVersion(*from), std::make_shared<bool>(false) };
    exchange->onClosed([isGone = watcher.isGone_] { *isGone = true; });
    pump(watcher);
    watchers_.push_back(std::move(watcher));
}

void ObjectService::pump(Watcher& watcher)
{
    const auto changes = store_.changesAfter(watcher.prefix_, watcher.sent_);
    if (!changes) {
        *watcher.isGone_ = true;
        return watcher.exchange_->abort();
    }
    std::string lines;
    for (const ObjectChange& change : *changes)
        lines += watchLine(change);
    if (!lines.empty())
        watcher.exchange_->write(lines);
    watcher.sent_ = store_.version();
}

void ObjectService::pumpAll()
{
    std::erase_if(watchers_, [](const Watcher& watcher) { return *watcher.isGone_; });
    for (Watcher& watcher : watchers_)
        pump(watcher);
}

void ObjectService::cutWatchers()
{
    for (const Watcher& watcher : watchers_)
        watcher.exchange_->abort();
    watchers_.clear();
}

void ObjectService::armBookmarks()
{
    bookmarks_.expires_after(bookmarkPeriod);
    bookmarks_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        pumpAll();
        const std::string line = watchLine(ObjectChange { ChangeKind::Bookmark, store_.version(), {}, {} });
        if (!faults_.silent_) {
            for (const Watcher& watcher : watchers_)
                watcher.exchange_->write(line);
        }
        armBookmarks();
    });
}

void ObjectService::hosts(const ExchangePtr& exchange)
{
    if (store_.isOut())
        return exchange->respond({ 503, {}, {} });
    std::string shown = "[]";
    for (const HostList& each : hostLists_) {
        if (each.visibleAt_ <= clock_.now())
            shown = each.json_;
    }
    answer(exchange, { 200, { { "Content-Type", "application/json" } }, shown });
}

void ObjectService::setHosts(const ExchangePtr& exchange)
{
    boost::system::error_code error;
    const json::value body = json::parse(exchange->request().body_, error);
    if (error || !body.is_array())
        return exchange->respond({ 400, {}, "not a list of hosts\n" });
    hostLists_.push_back({ clock_.now() + (hostLists_.empty() ? Duration::zero() : Duration(hostsLag_)), exchange->request().body_ });
    exchange->respond({ 204, {}, {} });
}

void ObjectService::counts(const ExchangePtr& exchange)
{
    const StoreCounts& counts = store_.counts();
    exchange->respond(jsonResponse(200, json::object { { "reads", counts.reads_ }, { "writes", counts.writes_ }, { "conflicts", counts.conflicts_ }, { "rateLimited", counts.rateLimited_ }, { "unavailable", counts.unavailable_ }, { "version", store_.version().value() }, { "objects", store_.objects().size() } }));
}

void ObjectService::faults(const ExchangePtr& exchange)
{
    const auto body = parseObject(exchange->request().body_);
    if (!body)
        return exchange->respond({ 400, {}, "not a JSON object\n" });
    faults_.outage_ = flagOr(*body, "outage", faults_.outage_);
    faults_.silent_ = flagOr(*body, "silent", faults_.silent_);
    faults_.delay_ = std::chrono::milliseconds(integerOr(*body, "delayMs", faults_.delay_.count()));
    faults_.loseAnswers_ = std::clamp(numberOr(*body, "loseAnswers", faults_.loseAnswers_), 0.0, 1.0);
    faults_.loseCalls_ = std::clamp(numberOr(*body, "loseCalls", faults_.loseCalls_), 0.0, 1.0);
    hostsLag_ = std::chrono::milliseconds(integerOr(*body, "hostsLagMs", hostsLag_.count()));
    if (body->contains("readsPerSecond") || body->contains("writesPerSecond")) {
        readsPerSecond_ = numberOr(*body, "readsPerSecond", readsPerSecond_);
        writesPerSecond_ = numberOr(*body, "writesPerSecond", writesPerSecond_);
        store_.setRates(readsPerSecond_, writesPerSecond_);
    }
    store_.setOutage(faults_.outage_);
    if (faults_.outage_ || flagOr(*body, "cutWatches", false))
        cutWatchers();
    // What was held through the silence breaks off, so that its callers don't wait for ever.
    if (!faults_.silent_) {
        for (const ExchangePtr& each : unanswered_)
            each->abort();
        unanswered_.clear();
    }
    exchange->respond(jsonResponse(200, json::object { { "outage", faults_.outage_ }, { "silent", faults_.silent_ }, { "delayMs", faults_.delay_.count() }, { "loseAnswers", faults_.loseAnswers_ }, { "loseCalls", faults_.loseCalls_ }, { "hostsLagMs", hostsLag_.count() }, { "readsPerSecond", readsPerSecond_ }, { "writesPerSecond", writesPerSecond_ }, { "watches", watchers_.size() } }));
}

} // namespace jj
