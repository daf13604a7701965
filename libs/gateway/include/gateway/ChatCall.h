// A chat completion call as callers send it, taken apart just far enough to decide on it.
//
//     Result<ChatCall> call = parseChatCall(body);
//     std::string forEngine = engineBody(call.value().openBody_, position);
#pragma once

#include "base/Id.h"
#include "base/Result.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jj {

struct ChatCall {
    std::string model_;
    bool streamed_ = false;
    // Estimates: bytes divided by 4, rounded up; the engine's own tokenizer is not known here.
    std::uint32_t promptTokens_ = 0;
    std::uint32_t maxTokens_ = 0;
    // Of the first message when its role is `system`: what calls of one kind share and engines cache.
    PrefixId prefix_;
    std::uint32_t prefixTokens_ = 0;
    // Of model and messages: the same question again has the same fingerprint.
    Fingerprint fingerprint_;
    // The call as JSON without its closing brace and without `stream` and `resume`, which each attempt sets anew.
    std::string openBody_;
};

constexpr std::uint32_t defaultMaxTokens = 256;

// Errors: GatewayError::BadJson, MissingModel, BadMessages, BadMaxTokens.
Result<ChatCall> parseChatCall(std::string_view body);

// The body for an engine, always streamed. A position above 0 resumes there.
std::string engineBody(std::string_view openBody, std::uint32_t position);

// "500ms", "3s", "5m", "2h", or "2026-12-04T16:00:00Z"; the time left from `now`, negative when it has passed.
// Error: GatewayError::BadDeadline.
Result<Duration> parseDeadline(std::string_view text, WallTime now);

} // namespace jj
