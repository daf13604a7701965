// The words that an engine answers with: a pure function of the prompt and the position, so that any checker can tell whether
// a caller got the whole answer to its own request and nothing of another's.
//
// The prompt of a chat request is the `content` of its messages joined by newlines. Its prefix, the part that engines cache,
// is the first message's content when that message has the role `system`, and is empty otherwise.
#pragma once

#include "base/Id.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace jj {

// Size of a text in the stand-in's tokens: bytes divided by 4, rounded up.
constexpr int tokensOf(std::string_view text) { return static_cast<int>((text.size() + 3) / 4); }

// One token of an answer: a word of eight letters and a space.
using AnswerWord = std::array<char, 9>;

std::uint64_t promptKey(std::string_view prompt);
AnswerWord answerWord(std::uint64_t promptKey, int position);

// The tokens of positions [from, to) as one text.
std::string answerText(std::string_view prompt, int from, int to);

// Id under which an engine caches a prefix; `none` for an empty one.
PrefixId prefixIdOf(std::string_view prefix);

} // namespace jj
