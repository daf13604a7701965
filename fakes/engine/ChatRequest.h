// What the engine stand-in reads of a chat completion request.
#pragma once

#include "enginemodel/EngineModel.h"
#include "http/Message.h"

#include <optional>
#include <string>

namespace jj {

struct ChatRequest {
    StreamSpec spec_; // without its stream id
    std::string name_; // X-Stream-Id, may be empty
    std::string prompt_;
    bool isStreamed_ = false;
};

// Nothing when the body isn't a chat completion request.
std::optional<ChatRequest> readChatRequest(const http::Request& request, const std::string& crashMarker);

} // namespace jj
