// Tests the decision whether an answer's end is the end of its stream.
#include "StreamEnd.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

EventScanner scannerAfter(std::string_view bytes)
{
    EventScanner scanner;
    scanner.feed(bytes, [](const StreamEvent&) {});
    return scanner;
}

} // namespace

// Guards against a stream that ended inside an event and was taken for complete, however its end was framed.
TEST_CASE("serving: a stream that ends inside an event is broken off")
{
    const EventScanner scanner = scannerAfter("id: 1\ndata: one\n\nid: 2\nda");
    CHECK(findStreamBreak(scanner, http::AnswerEnd::ConnectionClosed, true, false) == StreamBreak::InsideEvent);
    CHECK(findStreamBreak(scanner, http::AnswerEnd::Framed, true, false) == StreamBreak::InsideEvent);
}

TEST_CASE("serving: a stream that ends after an event is complete")
{
    const EventScanner scanner = scannerAfter("id: 1\ndata: one\n\n: end\n");
    CHECK(findStreamBreak(scanner, http::AnswerEnd::ConnectionClosed, true, false) == StreamBreak::None);
    CHECK(findStreamBreak(scanner, http::AnswerEnd::Framed, true, false) == StreamBreak::None);
}

// Guards against an engine that ended right after its head, and whose empty answer was taken for a complete stream.
TEST_CASE("serving: a stream without events is complete only if its end is framed")
{
    const EventScanner scanner;
    CHECK(findStreamBreak(scanner, http::AnswerEnd::ConnectionClosed, false, false) == StreamBreak::NoEvent);
    CHECK(findStreamBreak(scanner, http::AnswerEnd::Framed, false, false) == StreamBreak::None);
    CHECK(findStreamBreak(scanner, http::AnswerEnd::ConnectionClosed, true, false) == StreamBreak::None);
}

// Guards against a run that resumed a stream at an engine which ended right after its head, and was taken for the end of the stream.
TEST_CASE("serving: a resumed run without events ends its stream only if another run has ended so, or its end is framed")
{
    const EventScanner scanner;
    CHECK(findStreamBreak(scanner, http::AnswerEnd::ConnectionClosed, false, false) == StreamBreak::NoEvent);
    CHECK(findStreamBreak(scanner, http::AnswerEnd::ConnectionClosed, false, true) == StreamBreak::None);
    CHECK(findStreamBreak(scanner, http::AnswerEnd::Framed, false, false) == StreamBreak::None);
    CHECK(findStreamBreak(scannerAfter("id: 2\nda"), http::AnswerEnd::ConnectionClosed, false, true) == StreamBreak::InsideEvent);
}
