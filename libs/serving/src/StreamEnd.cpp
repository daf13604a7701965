// The decision depends on the bytes after the last complete event first, and on the framing only for a run without events.
#include "StreamEnd.h"

namespace jj {

StreamBreak findStreamBreak(const EventScanner& scanner, http::AnswerEnd answerEnd, bool hasEvents, bool isEndConfirmed)
{
    if (scanner.isInsideEvent())
        return StreamBreak::InsideEvent;
    if (!hasEvents && !isEndConfirmed && answerEnd == http::AnswerEnd::ConnectionClosed)
        return StreamBreak::NoEvent;
    return StreamBreak::None;
}

std::string_view nameOf(StreamBreak streamBreak)
{
    static constexpr std::string_view names[] = { "none", "insideEvent", "noEvent" };
    return names[static_cast<std::size_t>(streamBreak)];
}

} // namespace jj
