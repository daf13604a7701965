// Streams: from chat requests into the model, and its tokens back.
#include "EngineService.h"

#include "enginemodel/Answer.h"
#include "standin/StandIn.h"

#include <cstdlib>

namespace jj {

namespace json = boost::json;
using namespace standin;

namespace {

    int statusOf(std::error_code error)
    {
        switch (static_cast<EngineError>(error.value())) {
        case EngineError::Refused:
        case EngineError::Down:
            return 503;
        case EngineError::TooLarge:
            return 413;
        case EngineError::DuplicateStream:
        case EngineError::UnknownHandle:
            return 409;
        default:
            return 400;
        }
    }

    std::string_view nameOf(std::error_code error)
    {
        switch (static_cast<EngineError>(error.value())) {
        case EngineError::Refused:
            return "engine.Refused";
        case EngineError::Down:
            return "engine.Down";
        case EngineError::TooLarge:
            return "engine.TooLarge";
        case EngineError::DuplicateStream:
            return "engine.DuplicateStream";
        case EngineError::UnknownHandle:
            return "engine.UnknownHandle";
        default:
            return "engine.BadPosition";
        }
    }

    void appendTokenEvent(std::string& out, const std::string& name, const AnswerWord& word, int position, bool last)
    {
        out += R"(data: {"id":")";
        out += name;
        out += R"(","choices":[{"index":0,"delta":{"content":")";
        out.append(word.data(), word.size());
        out += last ? R"("},"finish_reason":"length"}],"position":)" : R"("},"finish_reason":null}],"position":)";
        out += std::to_string(position);
        out += "}\n\n";
    }

    json::object wholeAnswer(const std::string& name, std::string_view text, int promptTokens, int answerTokens)
    {
        const json::object message = { { "role", "assistant" }, { "content", text } };
        return { { "id", name }, { "object", "chat.completion" },
            { "choices", json::array { json::object { { "index", 0 }, { "message", message }, { "finish_reason", "length" } } } },
            { "usage", json::object { { "prompt_tokens", promptTokens }, { "completion_tokens", answerTokens }, { "total_tokens", promptTokens + answerTokens } } } };
    }

    // Names come from outside and stand in hand-written JSON.
    bool isPlainName(std::string_view name)
    {
        constexpr std::size_t longestName = 128;
        const auto isPlain = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == ':' || c == '/'; };
        return name.size() <= longestName && std::all_of(name.begin(), name.end(), isPlain);
    }

} // namespace

EngineService::EngineService(boost::asio::io_context& io, EngineServiceSettings settings, std::unique_ptr<EventWriter> events)
    : timer_(io)
    , restartTimer_(io)
    , settings_(std::move(settings))
    , model_(settings_.parameters_, settings_.seed_)
    , orders_(settings_.checksFencing_)
    , client_(io, {})
    , events_(std::move(events))
{
}

void EngineService::chat(const ExchangePtr& exchange)
{
    auto request = readChatRequest(exchange->request(), settings_.crashMarker_);
    if (!request || !isPlainName(request->name_)) {
        exchange->respond(http::errorResponse(400, "engine.BadRequest", "not a chat completion request", RunState::NotRun));
        return;
    }
    if (!settings_.failMarker_.empty() && request->prompt_.find(settings_.failMarker_) != std::string::npos) {
        exchange->respond(http::errorResponse(422, "engine.CannotBeDone", "this prompt can never be answered", RunState::Ran));
        return;
    }
    const StreamId stream(nextStream_++);
    if (request->name_.empty())
        request->name_ = "stream-" + std::to_string(stream.value());
    if (names_.contains(request->name_)) {
        exchange->respond(http::errorResponse(409, "engine.DuplicateStream", "a stream with this id is open", RunState::NotRun));
        return;
    }
    request->spec_.stream_ = stream;
    if (const auto started = model_.start(request->spec_, clock_.now()); !started) {
        exchange->respond(http::errorResponse(statusOf(started.error()), nameOf(started.error()), started.error().message(), RunState::NotRun));
        return;
    }
    Live live;
    live.exchange_ = exchange;
    live.name_ = request->name_;
    live.promptKey_ = promptKey(request->prompt_);
    live.promptTokens_ = request->spec_.promptTokens_;
    live.firstPosition_ = request->spec_.position_;
    live.lastPosition_ = request->spec_.answerTokens_ - 1;
    live.isStreamed_ = request->isStreamed_;
    names_.emplace(live.name_, stream);
    record(EventKind::RequestAccepted, live.name_);
    if (live.isStreamed_)
        exchange->start(200, { { "Content-Type", "text/event-stream" } });
    live_.emplace(stream, std::move(live));
    // A client that went away frees its place in the engine.
    exchange->onClosed([this, stream] {
        if (!live_.contains(stream))
            return;
        drop(stream);
        model_.cancel(stream, clock_.now());
        arm();
    });
}

void EngineService::drop(StreamId stream)
{
    const auto found = live_.find(stream);
    if (found == live_.end())
        return;
    names_.erase(found->second.name_);
    live_.erase(found);
}

void EngineService::cancelNamed(const ExchangePtr& exchange, const std::string& name)
{
    const auto found = names_.find(name);
    if (found == names_.end()) {
        exchange->respond(http::errorResponse(404, "engine.UnknownStream", "no open stream has this id", RunState::NotRun));
        return;
    }
    const StreamId stream = found->second;
    const ExchangePtr caller = live_.at(stream).exchange_;
    drop(stream);
    model_.cancel(stream, clock_.now());
    caller->abort();
    exchange->respond({ 204, {}, {} });
}

void EngineService::onToken(const StreamToken& token)
{
    const auto found = live_.find(token.stream_);
    if (found == live_.end())
        return;
    Live& live = found->second;
    const AnswerWord word = answerWord(live.promptKey_, token.position_);
    if (live.isStreamed_)
        appendTokenEvent(live.text_, live.name_, word, token.position_, token.position_ == live.lastPosition_);
    else
        live.text_.append(word.data(), word.size());
    if (live.isStreamed_)
        touch(token.stream_, live);
}

void EngineService::onFinished(const StreamFinished& finished)
{
    const auto found = live_.find(finished.stream_);
    if (found == live_.end())
        return;
    found->second.isDone_ = true;
    touch(finished.stream_, found->second);
}

void EngineService::touch(StreamId stream, Live& live)
{
    if (live.isTouched_)
        return;
    live.isTouched_ = true;
    touched_.push_back(stream);
}

void EngineService::flushTouched()
{
    for (const StreamId stream : touched_) {
        const auto found = live_.find(stream);
        if (found == live_.end())
            continue;
        Live& live = found->second;
        live.isTouched_ = false;
        const ExchangePtr exchange = live.exchange_;
        if (live.isStreamed_) {
            if (live.isDone_)
                live.text_ += "data: [DONE]\n\n";
            exchange->write(live.text_);
            live.text_.clear();
            if (live.isDone_)
                exchange->end();
        } else {
            const int answerTokens = live.lastPosition_ + 1 - live.firstPosition_;
            exchange->respond(jsonResponse(200, wholeAnswer(live.name_, live.text_, live.promptTokens_, answerTokens)));
        }
        if (live.isDone_)
            drop(stream);
    }
    touched_.clear();
}

void EngineService::onCrashed(const EngineCrashed&)
{
    record(EventKind::EngineCrashed, "prompt");
    crash();
}

// Every open connection breaks off at once, as when the process dies.
void EngineService::crash()
{
    if (settings_.crashEndsProcess_) {
        if (events_)
            events_->flush();
        std::_Exit(crashExitCode);
    }
    auto lost = std::move(live_);
    live_.clear();
    names_.clear();
    touched_.clear();
    for (auto& [stream, live] : lost)
        live.exchange_->abort();
    restartTimer_.expires_after(settings_.restartAfter_);
    restartTimer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            model_.restart(clock_.now());
    });
}

void EngineService::advance()
{
    model_.advance(clock_.now(), Sink { *this });
    flushTouched();
}

void EngineService::arm()
{
    const TimePoint next = model_.nextStepAt();
    if (next == armedFor_)
        return;
    armedFor_ = next;
    if (next == neverTime) {
        timer_.cancel();
        return;
    }
    timer_.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
    timer_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        armedFor_ = neverTime;
        advance();
        arm();
    });
}

void EngineService::record(EventKind kind, const std::string& subject, std::string error)
{
    if (!events_)
        return;
    TimelineEvent event;
    event.kind_ = kind;
    event.detail_.subject_ = subject;
    event.detail_.error_ = std::move(error);
    events_->write(std::move(event), clock_.wallNow());
    events_->flush();
}

} // namespace jj
