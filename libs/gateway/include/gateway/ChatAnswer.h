// The answer to a chat completion call, as its caller reads it: server-sent events, or one object at the end.
//
//     ChatAnswer answer(exchange, "chatcmpl-17", call.model_, call.streamed_);
//     answer.tokens(3, 2, "two words ");   // position behind them, their number, their text
//     answer.end();                        // or refuse(...)
//
// A refusal before the first token is a status with a typed error. After it the status has gone out, so the typed error is the last
// event of the stream, and the stream ends without [DONE]. Not thread safe; one owner at a time calls it.
#pragma once

#include "base/Error.h"
#include "base/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace jj::http {
class Exchange;
}

namespace jj {

// Why there is no (whole) answer, for a caller.
struct CallerRefusal {
    int status_ = 503;
    std::string_view code_; // such as "decisions.Expired"
    std::string_view message_;
    RunState run_ = RunState::NotRun;
    Duration retryAfter_ {}; // zero: coming back makes no sense
};

class ChatAnswer {
public:
    ChatAnswer(std::shared_ptr<http::Exchange> exchange, std::string id, std::string model, bool streamed, std::uint32_t promptTokens);

    void tokens(std::uint32_t position, std::uint32_t count, std::string_view text);
    void end();
    void refuse(const CallerRefusal& refusal);

private:
    std::shared_ptr<http::Exchange> exchange_;
    std::string id_;
    std::string model_;
    bool streamed_;
    std::uint32_t promptTokens_;
    bool started_ = false; // the status went out
    std::uint32_t position_ = 0;
    std::string text_; // of a whole answer
};

void refuseCall(http::Exchange& exchange, const CallerRefusal& refusal);

} // namespace jj
