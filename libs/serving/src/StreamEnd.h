// Decides whether the end of an engine's answer is the end of its stream. Callers' streams and batch items share this decision.
//
// An answer without a length and without chunks ends with its connection, which the system also closes when the engine's process ends. So
// the end of an answer alone doesn't show that its stream is complete.
#pragma once

#include "EventScanner.h"
#include "http/Client.h"

#include <cstdint>
#include <string_view>

namespace jj {

enum class StreamBreak : std::uint8_t {
    None, // nothing contradicts that the stream is complete
    InsideEvent, // bytes of an incomplete event follow the last complete one
    NoEvent, // the run brought no event, and its end isn't framed
};

// `hasEvents`: the run brought an event. `isEndConfirmed`: another run that resumed after the same event ended without an event too, as
// runs do that resume after the last event of a stream.
StreamBreak findStreamBreak(const EventScanner& scanner, http::AnswerEnd answerEnd, bool hasEvents, bool isEndConfirmed);

std::string_view nameOf(StreamBreak streamBreak);

} // namespace jj
