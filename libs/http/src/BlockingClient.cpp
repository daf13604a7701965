// Runs an io_context of its own for the length of each request.
#include "http/BlockingClient.h"

#include <boost/asio/io_context.hpp>

namespace jj::http {

struct BlockingClient::State {
    explicit State(Duration idle)
        : idle_(idle)
        , client_(io_, {})
    {
    }

    boost::asio::io_context io_;
    Duration idle_;
    Client client_;
};

BlockingClient::BlockingClient(Duration idle)
    : state_(std::make_unique<State>(idle))
{
}

BlockingClient::~BlockingClient() = default;

Result<Response> BlockingClient::request(const Endpoint& endpoint, const Request& request)
{
    Result<Response> answer = Error::Cancelled;
    bool done = false;
    state_->client_.fetch(endpoint, request, { state_->idle_, false }, [&](Result<Response> response, RunState) {
        answer = std::move(response);
        done = true;
    });
    state_->io_.restart();
    while (!done)
        state_->io_.run_one();
    return answer;
}

Result<Response> BlockingClient::stream(const Endpoint& endpoint, const Request& request, const std::function<bool(std::string_view)>& onData)
{
    constexpr int ok = 200;
    Response response;
    std::error_code error;
    bool done = false;
    std::shared_ptr<Call> call;
    CallHandlers handlers;
    handlers.onHead_ = [&](const ResponseHead& head) {
        response.status_ = head.status_;
        response.headers_ = head.headers_;
    };
    handlers.onData_ = [&](std::string_view data) {
        if (response.status_ != ok) {
            response.body_.append(data);
        } else if (!onData(data)) {
            call->cancel();
            done = true;
        }
    };
    handlers.onEnd_ = [&](AnswerEnd) { done = true; };
    handlers.onError_ = [&](const CallFailure& failure) {
        error = failure.code_;
        done = true;
    };
    call = state_->client_.send(endpoint, request, { state_->idle_, false }, std::move(handlers));
    state_->io_.restart();
    while (!done)
        state_->io_.run_one();
    if (error)
        return error;
    return response;
}

} // namespace jj::http
