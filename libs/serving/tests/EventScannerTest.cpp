// Tests that the scanner yields only complete events, however their bytes are split.
#include "EventScanner.h"
#include "base/Utf8.h"

#include <algorithm>
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
            result.data_ += std::string(event.data()) + "|";
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

// Guards against a text that lacks the first lines of an event with several.
TEST_CASE("serving: several data fields of an event are joined by line feeds")
{
    CHECK(scan("id: 1\ndata: one\ndata:\ndata: three\n\n", 5).data_ == "one\n\nthree|");
}

// Guards against a text that is taken for complete without an event of which bytes are wrong.
TEST_CASE("serving: events of which bytes are lost or wrong are distinguished from sound ones")
{
    const auto isSpoilt = [](std::string_view bytes) {
        EventScanner scanner;
        std::optional<bool> found;
        scanner.feed(bytes, [&](const StreamEvent& event) { found = event.isSpoilt(); });
        REQUIRE(found);
        return *found;
    };
    for (const std::string_view sound : { "id: 1\ndata: one\n\n", "id: 1\ndata:\n\n", ": comment\n\n", "retry: 10\n\n", "event: x\nid: 1\ndata: one\n\n", "own-field: 7\nid: 1\ndata: \xc3\xa9\n\n" })
        CHECK_FALSE(isSpoilt(sound));
    for (const std::string_view spoilt : { "~~~~\n\n", "data: one\n\n", "id: 1\n\n", "id: 1\ndata: \xff\n\n", "id: x1\ndata: one\n\n", "~id: 1\ndata: one\n\n" })
        CHECK(isSpoilt(spoilt));
}

// Guards against an event that is dropped in silence, or joined with the next one, because the end of one of its lines is wrong.
TEST_CASE("serving: wrong bytes at any place of an event but within its data are recognised")
{
    const std::string first = "id: 5\ndata: five\n\n";
    const std::string second = "id: 6\ndata: six\n\n";
    const std::size_t data = first.find("five");
    for (const std::string_view wrong : { "\xff\xfe\xf0\x80", "\xff", "~", "x", ":" }) {
        for (std::size_t place = 0; place < first.size(); ++place) {
            const bool isWithinData = place >= data && place + wrong.size() <= data + 4 && isUtf8(wrong);
            const bool isSpaceBeforeData = place + 1 == data && wrong.size() == 1 && isUtf8(wrong);
            std::string stream = first + second;
            stream.replace(place, wrong.size(), wrong);
            if (isWithinData || isSpaceBeforeData || stream == first + second)
                continue;
            EventScanner scanner;
            std::vector<std::uint64_t> sound;
            bool isFound = false;
            scanner.feed(stream, [&](const StreamEvent& event) {
                isFound = isFound || event.isSpoilt();
                if (!isFound && event.id_)
                    sound.push_back(*event.id_);
            });
            CAPTURE(place);
            CAPTURE(stream);
            CHECK(isFound);
            CHECK(sound.empty());
        }
    }
}

// Guards against an engine that sends an event without end, whose bytes were held without bound.
TEST_CASE("serving: the scanner gives up on an event over its limit")
{
    constexpr std::size_t limit = 100;
    const std::string start = "id: 1\ndata: one\n\nid: 2\ndata: ";
    const std::size_t eventStart = start.find("id: 2");
    for (std::size_t piece = 1; piece <= limit; ++piece) {
        EventScanner scanner(limit);
        const std::string stream = start + std::string(2 * limit, 'x');
        std::size_t events = 0;
        std::size_t longest = 0;
        for (std::size_t at = 0; at < stream.size() && !scanner.isOverLimit(); at += piece) {
            events += scanner.feed(std::string_view(stream).substr(at, piece), [](const StreamEvent&) {});
            longest = std::max(longest, scanner.rest().size());
        }
        CHECK(events == 1);
        CHECK(scanner.isOverLimit());
        CHECK(longest <= limit);
        CHECK(longest + piece > limit);
        CHECK(scanner.rest().empty());
        CHECK(scanner.feed("\n\nid: 3\ndata: three\n\n", [](const StreamEvent&) {}) == 0);
    }
    EventScanner scanner(limit);
    const std::string exact = "id: 2\ndata: " + std::string(limit - (start.size() - eventStart), 'x');
    CHECK(exact.size() == limit);
    scanner.feed(exact, [](const StreamEvent&) {});
    CHECK_FALSE(scanner.isOverLimit());
    CHECK(scanner.feed("\n\n", [](const StreamEvent&) {}) == 1);
}

// Guards against events that are found again, or missed, where their end is split between pieces: only new bytes are searched.
TEST_CASE("serving: the scanner finds the end of a long event in small pieces")
{
    const std::string text(300'000, 'x');
    for (const char* end : { "\n\n", "\r\n\r\n" }) {
        const ScanResult result = scan("id: 7\ndata: " + text + end + "id: 8\ndata: y" + end, 1);
        CHECK(result.ids_ == std::vector<std::uint64_t> { 7, 8 });
        CHECK(result.data_.size() == text.size() + 3);
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
