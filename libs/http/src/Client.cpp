// The pool, and calls over it.
#include "http/Client.h"

#include "ClientConnection.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <exception>
#include <iterator>
#include <utility>

namespace jj::http {

namespace {

    using detail::CallState;
    using detail::ClientConnection;
    using detail::ClientShared;

    std::string composeHead(const Endpoint& endpoint, const Request& request, std::size_t bodyBytes)
    {
        boost::beast::http::request<boost::beast::http::empty_body> head;
        head.version(11);
        head.method_string(detail::lineSafe(request.method_));
        head.target(detail::lineSafe(request.target_));
        if (!request.headers_.has("Host"))
            head.set(boost::beast::http::field::host, toString(endpoint));
        for (const HeaderView header : request.headers_) {
            if (!detail::isHopHeader(header.name_))
                head.insert(detail::lineSafe(header.name_), detail::lineSafe(header.value_));
        }
        if (bodyBytes > 0 || request.method_ == "POST" || request.method_ == "PUT")
            head.content_length(bodyBytes);
        return detail::headText(head);
    }

    // Beast throws on names and values that it can't hold.
    Result<std::string> requestHead(const Endpoint& endpoint, const Request& request, std::size_t bodyBytes)
    {
        try {
            return composeHead(endpoint, request, bodyBytes);
        } catch (const std::exception&) {
            return Error::Unencodable;
        }
    }

    // Takes the connection that was used last out of the pool. One that has carried the same request before is left: a second copy of that
    // answer names the request as well, and would be taken for the answer to this call.
    std::shared_ptr<ClientConnection> takePooled(ClientShared& shared, const Endpoint& endpoint, detail::CallIdentity identity)
    {
        const std::lock_guard lock(shared.mutex_);
        const auto found = shared.pool_.find(endpoint);
        if (found == shared.pool_.end())
            return nullptr;
        auto& idle = found->second;
        const auto newest = std::find_if(idle.rbegin(), idle.rend(), [identity](const auto& one) { return identity.isNone() || !one->hasCarried(identity); });
        if (newest == idle.rend())
            return nullptr;
        auto connection = std::move(*newest);
        idle.erase(std::next(newest).base());
        return connection;
    }

    std::shared_ptr<ClientConnection> pick(const std::shared_ptr<ClientShared>& shared, const Endpoint& endpoint, const CallOptions& options)
    {
        auto connection = options.fresh_ ? nullptr : takePooled(*shared, endpoint, detail::identityOf(options));
        return connection ? connection : std::make_shared<ClientConnection>(shared, endpoint);
    }

    // Collects a whole answer.
    struct Collector {
        Response response_;
        Client::WholeHandler handler_;
    };

} // namespace

Call::Call(std::shared_ptr<CallState> state)
    : state_(std::move(state))
{
}

void Call::cancel()
{
    if (state_->cancelled_.exchange(true))
        return;
    if (const auto current = connection())
        current->cancelSoon(state_);
}

void Call::cancelAfterReceived()
{
    if (state_->ending_.exchange(true))
        return;
    if (const auto current = connection())
        current->cancelAfterReceivedSoon(state_);
}

void Call::pauseReading() { state_->pacing_ = detail::Pacing::Paused; }

void Call::resumeReading()
{
    auto expected = detail::Pacing::Paused;
    if (!state_->pacing_.compare_exchange_strong(expected, detail::Pacing::Resuming))
        return;
    if (const auto current = connection())
        current->resumeSoon(state_);
}

bool Call::wasSent() const { return state_->sent_; }

std::shared_ptr<ClientConnection> Call::connection() const
{
    const std::lock_guard lock(state_->mutex_);
    return state_->connection_.lock();
}

Client::Client(boost::asio::io_context& io, ClientSettings settings)
    : shared_(std::make_shared<ClientShared>(io, std::move(settings)))
{
}

Client::~Client()
{
    decltype(shared_->pool_) pool;
    {
        const std::lock_guard lock(shared_->mutex_);
        shared_->closed_ = true;
        pool.swap(shared_->pool_);
    }
    for (auto& [endpoint, connections] : pool) {
        for (auto& connection : connections)
            connection->closeSoon();
    }
}

std::shared_ptr<Call> Client::send(const Endpoint& endpoint, const Request& request, const CallOptions& options, CallHandlers handlers)
{
    return sendLimited(endpoint, request, options, std::move(handlers), 0);
}

std::shared_ptr<Call> Client::sendLimited(const Endpoint& endpoint, const Request& request, const CallOptions& options, CallHandlers handlers, std::size_t bodyLimit)
{
    auto state = std::make_shared<CallState>();
    state->bodyLimit_ = bodyLimit;
    state->handlers_ = std::move(handlers);
    state->options_ = options;
    state->options_.sharedBody_ = nullptr;
    state->endpoint_ = endpoint;
    state->outboundBody_ = options.sharedBody_ ? options.sharedBody_ : std::make_shared<const std::string>(request.body_);
    Result<std::string> head = requestHead(endpoint, request, state->outboundBody_->size());
    if (!head) {
        boost::asio::post(shared_->io_, [state, error = head.error()] {
            if (!state->cancelled_ && !state->ending_)
                state->handlers_.onError_({ error, RunState::NotRun });
            state->handlers_ = {};
        });
        return std::make_shared<Call>(std::move(state));
    }
    state->outboundHead_ = std::move(head.value());
    state->isHead_ = request.method_ == "HEAD";
    const auto connection = pick(shared_, endpoint, options);
    state->connection_ = connection;
    connection->startSoon(state);
    return std::make_shared<Call>(std::move(state));
}

std::string_view nameOf(AnswerEnd end) { return end == AnswerEnd::Framed ? "framed" : "connectionClosed"; }

std::shared_ptr<Call> Client::fetch(const Endpoint& endpoint, const Request& request, const CallOptions& options, WholeHandler handler)
{
    auto collector = std::make_shared<Collector>();
    collector->handler_ = std::move(handler);
    CallHandlers handlers;
    handlers.onHead_ = [collector](const ResponseHead& head) {
        collector->response_.status_ = head.status_;
        collector->response_.headers_ = head.headers_;
    };
    handlers.onData_ = [collector](std::string_view data) { collector->response_.body_.append(data); };
    handlers.onEnd_ = [collector](AnswerEnd) { collector->handler_(std::move(collector->response_), RunState::Ran); };
    handlers.onError_ = [collector](const CallFailure& failure) { collector->handler_(failure.code_, failure.run_); };
    return sendLimited(endpoint, request, options, std::move(handlers), options.bodyBytes_ > 0 ? options.bodyBytes_ : shared_->settings_.bodyBytes_);
}

void Client::probe(const Endpoint& endpoint, std::string target, Duration bound, std::function<void(bool alive)> handler)
{
    Request request { "GET", std::move(target), {}, {} };
    fetch(endpoint, request, { bound, true }, [handler = std::move(handler)](const Result<Response>& response, RunState) { handler(response.has_value()); });
}

void Client::dropPooled(const Endpoint& endpoint)
{
    std::vector<std::shared_ptr<ClientConnection>> dropped;
    {
        const std::lock_guard lock(shared_->mutex_);
        const auto found = shared_->pool_.find(endpoint);
        if (found == shared_->pool_.end())
            return;
        dropped = std::move(found->second);
        shared_->pool_.erase(found);
    }
    for (auto& connection : dropped)
        connection->closeSoon();
}

bool Client::hasPooled(const Endpoint& endpoint) const
{
    const std::lock_guard lock(shared_->mutex_);
    const auto found = shared_->pool_.find(endpoint);
    return found != shared_->pool_.end() && !found->second.empty();
}

std::size_t Client::pooledConnections() const
{
    const std::lock_guard lock(shared_->mutex_);
    std::size_t count = 0;
    for (const auto& [endpoint, connections] : shared_->pool_)
        count += connections.size();
    return count;
}

} // namespace jj::http
