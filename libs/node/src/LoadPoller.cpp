// Load reports each period, cache events each few periods.
#include "LoadPoller.h"

#include "http/Client.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json.hpp>
#include <mutex>

namespace jj {

namespace {

    namespace json = boost::json;

    // Cache events come late and with gaps anyhow; asking for them rarely costs little.
    constexpr int periodsPerCacheRead = 4;

    std::uint32_t numberOf(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        return value && value->is_int64() && value->get_int64() >= 0 ? static_cast<std::uint32_t>(value->get_int64()) : 0;
    }

    double realOf(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        json::error_code error;
        const double number = value ? value->to_number<double>(error) : 0;
        return error ? 0 : number;
    }

    std::optional<json::object> parseObject(const Result<http::Response>& response)
    {
        if (!response || response.value().status_ != 200)
            return std::nullopt;
        json::error_code error;
        json::value value = json::parse(response.value().body_, error);
        if (error || !value.is_object())
            return std::nullopt;
        return std::move(value.get_object());
    }

} // namespace

struct LoadPoller::State : std::enable_shared_from_this<LoadPoller::State> {
    State(boost::asio::io_context& io, http::Client& client, const FleetViewBoard& view, FleetHost& fleet, std::function<void(Event)> feed, Duration period)
        : strand_(boost::asio::make_strand(io))
        , timer_(strand_)
        , client_(client)
        , view_(view)
        , fleet_(fleet)
        , feed_(std::move(feed))
        , period_(period)
    {
    }

    void schedule()
    {
        timer_.expires_after(period_);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (error || self->stopped_)
                return;
            self->poll();
            self->schedule();
        });
    }

    void poll()
    {
        const auto view = view_.current();
        if (!view)
            return;
        ++rounds_;
        for (const ServiceConfig& service : view->config().services_) {
            if (service.kind_ != ServiceKind::Engines)
                continue;
            for (const UpstreamConfig& upstream : service.upstreams_) {
                const UpstreamPlace* place = view->upstream(upstream.id());
                if (!fleet_.isHome(upstream.id(), place->region_))
                    continue;
                askLoad(upstream.id(), place->endpoint_);
                if (rounds_ % periodsPerCacheRead == 0)
                    askCache(upstream.id(), place->endpoint_);
            }
        }
    }

    void askLoad(UpstreamId upstream, const Endpoint& endpoint)
    {
        client_.fetch(endpoint, { "GET", "/v1/load", {}, {} }, { period_ * periodsPerCacheRead, false }, [self = shared_from_this(), upstream](const Result<http::Response>& response, RunState) {
            if (const auto object = parseObject(response))
                self->takeLoad(upstream, *object);
        });
    }

    void takeLoad(UpstreamId upstream, const json::object& object)
    {
        EngineReported report;
        report.upstream_ = upstream;
        const json::value* at = object.if_contains("at");
        const std::int64_t atMs = at && at->is_int64() ? at->get_int64() : 0;
        const auto age = SystemClock().wallNow() - WallTime(std::chrono::milliseconds(atMs));
        // An engine's clock may be off: an age below zero or absurdly large says nothing.
        const bool believable = age >= Duration::zero() && age < 1min;
        report.at_ = SystemClock().now() - (believable ? Duration(age) : Duration::zero());
        report.running_ = numberOf(object, "running");
        report.waiting_ = numberOf(object, "waiting");
        report.kvUsed_ = numberOf(object, "kvUsed");
        report.kvTotal_ = numberOf(object, "kvTotal");
        report.stepMilliseconds_ = realOf(object, "stepMs");
        const json::value* leaving = object.if_contains("leaving");
        report.leaving_ = leaving && leaving->is_bool() && leaving->get_bool();
        feed_(report);
        bool changed = false;
        {
            const std::lock_guard lock(leavingLock_);
            changed = std::exchange(leaving_[upstream], report.leaving_) != report.leaving_;
        }
        if (changed)
            fleet_.upstreamLeaving(upstream, report.leaving_);
    }

    void askCache(UpstreamId upstream, const Endpoint& endpoint)
    {
        const std::string target = "/v1/cache/events?from=" + std::to_string(nextEvent_[upstream]);
        client_.fetch(endpoint, { "GET", target, {}, {} }, { period_ * periodsPerCacheRead, false }, [self = shared_from_this(), upstream](const Result<http::Response>& response, RunState) {
            if (const auto object = parseObject(response))
                boost::asio::post(self->strand_, [self, upstream, found = *object] { self->takeCache(upstream, found); });
        });
    }

    void takeCache(UpstreamId upstream, const json::object& object)
    {
        const json::value* events = object.if_contains("events");
        if (!events || !events->is_array())
            return;
        CacheChanged changed;
        changed.upstream_ = upstream;
        for (const json::value& element : events->get_array()) {
            const json::object* event = element.if_object();
            const json::value* prefix = event ? event->if_contains("prefix") : nullptr;
            const json::value* kind = event ? event->if_contains("kind") : nullptr;
            if (!prefix || !prefix->is_string() || !kind || !kind->is_string())
                continue;
            if (const auto id = idFromText(std::string_view(prefix->get_string())))
                changed.changes_.push_back({ PrefixId(*id), kind->get_string() == "stored" });
        }
        nextEvent_[upstream] = numberOf(object, "next");
        if (!changed.changes_.empty())
            feed_(std::move(changed));
    }

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer timer_;
    http::Client& client_;
    const FleetViewBoard& view_;
    FleetHost& fleet_;
    std::function<void(Event)> feed_;
    Duration period_;
    std::uint64_t rounds_ = 0;
    std::atomic<bool> stopped_ = false;
    std::map<UpstreamId, std::uint64_t> nextEvent_;
    std::mutex leavingLock_;
    std::map<UpstreamId, bool> leaving_; // guarded by leavingLock_
};

LoadPoller::LoadPoller(boost::asio::io_context& io, http::Client& client, const FleetViewBoard& view, FleetHost& fleet, std::function<void(Event)> feed, Duration period)
    : state_(std::make_shared<State>(io, client, view, fleet, std::move(feed), period))
{
}

LoadPoller::~LoadPoller() { stop(); }

void LoadPoller::start()
{
    boost::asio::post(state_->strand_, [state = state_] { state->schedule(); });
}

void LoadPoller::stop()
{
    state_->stopped_ = true;
    boost::asio::post(state_->strand_, [state = state_] { state->timer_.cancel(); });
}

} // namespace jj
