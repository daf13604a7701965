// Tests that the scanner yields only complete events, however their bytes are split.
#include "EventScanner.h"

#include <doctest/doctest.h>
#include <vector>

using namespace jj;

namespace {

struct ScanResult {
    std::vector<std::uint64_t> ids_;
    std::string data_;
    std::string raw_;
};

ScanResult scan(std::string_view bytes, std::size_t piece)
{
    ScanResult result;
    EventScanner scanner;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        scanner.feed(bytes.substr(at, piece), [&](const StreamEvent& event) {
            result.ids_.push_back(event.id_.value_or(0));
            result.data_ += std::string(event.data_) + "|";
            result.raw_ += event.raw_;
        });
    }
    return result;
}

} // namespace

TEST_CASE("serving: the scanner yields complete events however their bytes are split")
{
    const std::string stream = "id: 1\ndata: one\n\nid:2\r\ndata:two\r\n\r\n: comment\nid: 3\ndata: three\n\n";
    for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
        const ScanResult result = scan(stream, piece);
        CHECK(result.ids_ == std::vector<std::uint64_t> { 1, 2, 3 });
        CHECK(result.data_ == "one|two|three|");
        CHECK(result.raw_ == stream);
    }
}

TEST_CASE("serving: the scanner is inside an event until the event's last line has ended")
{
    const auto isInsideAfter = [](std::string_view bytes) {
        EventScanner scanner;
        scanner.feed(bytes, [](const StreamEvent&) {});
        return scanner.isInsideEvent();
    };
    const std::string event = "id: 1\r\ndata: one\r\n\r\n";
    CHECK_FALSE(isInsideAfter(""));
    CHECK_FALSE(isInsideAfter(event));
    for (std::size_t cut = 1; cut < event.size(); ++cut)
        CHECK(isInsideAfter(event.substr(0, cut)));
    for (const char* tail : { "\n", "\r\n", ": comment\n", ": one\r\n: two\n" })
        CHECK_FALSE(isInsideAfter(event + tail));
    for (const char* tail : { "\r", ": comm", "data:", "data: two\n", ": comment\ndata: two\n" })
        CHECK(isInsideAfter(event + tail));
}

// Guards against bytes of a run that was given up at one of its events and that are taken for the beginning of the next run.
TEST_CASE("serving: a scanner that its callback resets drops the rest of the bytes")
{
    EventScanner scanner;
    int events = 0;
    scanner.feed("id: 5\ndata: five\n\nid: 6\ndata: six\n\nid: 7\nda", [&](const StreamEvent&) {
        ++events;
        scanner.reset();
    });
    CHECK(events == 1);
    CHECK(scanner.rest().empty());
}

// An engine fails in the middle of an event. Without the scanner, the caller would receive the first part of the event from this
// engine, followed by the complete event from the engine that resumes the stream: bytes of two runs joined.
TEST_CASE("serving: the scanner never yields the bytes of an incomplete event")
{
    EventScanner scanner;
    std::string out;
    scanner.feed("id: 1\ndata: one\n\nid: 2\ndata: tw", [&](const StreamEvent& event) { out += event.raw_; });
    CHECK(out == "id: 1\ndata: one\n\n");
    CHECK(scanner.rest() == "id: 2\ndata: tw");
    scanner.reset();
    scanner.feed("id: 2\ndata: two\n\n", [&](const StreamEvent& event) { out += event.raw_; });
    CHECK(out == "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
}
