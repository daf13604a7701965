// Server-sent events of engines. A lost connection is distinguished from a dead engine by one probe on a fresh connection.
#include "gateway/EngineStream.h"

#include "http/Client.h"

#include <boost/json.hpp>

namespace jj {

namespace {

    namespace json = boost::json;

    constexpr std::string_view dataPrefix = "data: ";
    constexpr std::string_view lastEvent = "[DONE]";
    constexpr std::size_t longestLine = 1 << 20;
    constexpr std::size_t longestError = 4096;
    // A dead process refuses at once; a host that is gone answers nothing, and a second is enough to tell.
    constexpr Duration probeBound = 1s;

} // namespace

EngineStream::EngineStream(http::Client& client, Endpoint engine, EngineStreamHandlers handlers)
    : client_(client)
    , engine_(std::move(engine))
    , handlers_(std::move(handlers))
{
}

std::shared_ptr<EngineStream> EngineStream::start(http::Client& client, const Endpoint& engine, EngineStreamRequest request, EngineStreamHandlers handlers)
{
    std::shared_ptr<EngineStream> stream(new EngineStream(client, engine, std::move(handlers)));
    stream->begin(std::move(request));
    return stream;
}

void EngineStream::begin(EngineStreamRequest request)
{
    http::Request call { "POST", "/v1/chat/completions", { { "Content-Type", "application/json" }, { "X-Stream-Id", request.streamId_ } }, std::move(request.body_) };
    http::CallHandlers handlers;
    handlers.onHead_ = [self = shared_from_this()](const http::ResponseHead& head) { self->onHead(head.status_); };
    handlers.onData_ = [self = shared_from_this()](std::string_view data) { self->onData(data); };
    handlers.onEnd_ = [self = shared_from_this()](http::AnswerEnd) { self->onEnd(); };
    handlers.onError_ = [self = shared_from_this()](const http::CallFailure& failure) {
        if (failure.run_ == RunState::NotRun)
            return self->fail(EngineFailure::Connect, false);
        self->lost(failure.code_ == http::Error::NoProgress, true);
    };
    const std::lock_guard lock(lock_);
    call_ = client_.send(engine_, call, { request.idle_, false }, std::move(handlers));
}

void EngineStream::cancel()
{
    std::shared_ptr<http::Call> call;
    {
        const std::lock_guard lock(lock_);
        // Let go of it here: the call's handlers hold this stream, and a client that ends first would never part the two.
        call = std::move(call_);
    }
    if (call)
        call->cancel();
}

void EngineStream::onHead(int status)
{
    status_ = status;
}

void EngineStream::onData(std::string_view data)
{
    if (status_ != 200) {
        error_.append(data.substr(0, longestError - std::min(longestError, error_.size())));
        return;
    }
    while (!data.empty() && !ended_) {
        const auto end = data.find('\n');
        line_.append(data.substr(0, end));
        if (end == std::string_view::npos)
            break;
        data.remove_prefix(end + 1);
        onLine(line_);
        line_.clear();
    }
    if (line_.size() > longestLine)
        return fail(EngineFailure::ServerError, true);
    flushTokens();
}

void EngineStream::onLine(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (!line.starts_with(dataPrefix))
        return;
    line.remove_prefix(dataPrefix.size());
    if (line == lastEvent) {
        done_ = true;
        return;
    }
    json::error_code error;
    const json::value event = json::parse(line, error);
    const json::value* position = error ? nullptr : event.find_pointer("/position", error);
    const json::value* content = position ? event.find_pointer("/choices/0/delta/content", error) : nullptr;
    if (!content || !content->is_string() || !position->is_int64())
        return fail(EngineFailure::ServerError, true);
    text_ += std::string_view(content->get_string());
    ++count_;
    position_ = static_cast<std::uint32_t>(position->get_int64()) + 1;
}

void EngineStream::flushTokens()
{
    if (ended_ || count_ == 0)
        return;
    const std::uint32_t count = std::exchange(count_, 0);
    const std::string text = std::exchange(text_, {});
    handlers_.onTokens_(position_, count, text);
}

void EngineStream::onEnd()
{
    if (ended_)
        return;
    if (status_ == 429 || status_ == 503)
        return fail(EngineFailure::Overloaded, true);
    if (status_ >= 400 && status_ < 500)
        return fail(EngineFailure::Rejected, true);
    if (status_ != 200)
        return fail(EngineFailure::ServerError, true);
    // A stream that ends without its last event was cut off by a proxy or a dying process that still closed its socket.
    if (!done_)
        return lost(false, true);
    ended_ = true;
    const EngineStreamHandlers handlers = std::exchange(handlers_, {});
    handlers.onEnd_();
}

// The failure this meets: one prompt crashes its engine, and the innocent streams beside it look just the same. Only an engine that
// refuses a fresh connection has died; then all its streams are suspects, and the home tries them one at a time.
void EngineStream::lost(bool silent, bool sent)
{
    if (ended_)
        return;
    if (silent) {
        client_.dropPooled(engine_);
        return fail(EngineFailure::Silent, sent);
    }
    client_.probe(engine_, "/healthz", probeBound, [self = shared_from_this(), sent](bool alive) {
        self->fail(alive ? EngineFailure::Disconnected : EngineFailure::Crashed, sent);
    });
}

void EngineStream::fail(EngineFailure failure, bool sent)
{
    if (ended_)
        return;
    ended_ = true;
    cancel();
    const EngineStreamHandlers handlers = std::exchange(handlers_, {});
    handlers.onFailure_(failure, sent, error_);
}

} // namespace jj
