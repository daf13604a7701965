// Events survive their files, and the merged time line keeps each process's own order.
#include "events/EventWriter.h"
#include "events/Timeline.h"

#include <boost/json.hpp>
#include <cstdio>
#include <doctest/doctest.h>
#include <filesystem>
#include <random>
#include <sstream>

using namespace jj;

namespace {

constexpr WallTime start { std::chrono::milliseconds(1'767'225'600'000) };

TimelineEvent simple(const char* host, std::uint64_t sequence, int offsetMs, EventKind kind)
{
    TimelineEvent event;
    event.host_ = host;
    event.incarnation_ = Incarnation(1);
    event.sequence_ = sequence;
    event.at_ = start + std::chrono::milliseconds(offsetMs);
    event.kind_ = kind;
    return event;
}

TimelineEvent full()
{
    TimelineEvent event = simple("127.0.0.1:7400", 12, 5, EventKind::ChunkCommitted);
    event.request_ = RequestId(0xfedc'ba98'7654'3210);
    event.job_ = JobId(3);
    event.item_ = ItemIndex(99);
    event.engine_ = UpstreamId(17);
    event.detail_.attempt_ = 2;
    event.detail_.position_ = 40;
    event.detail_.count_ = 128;
    event.detail_.durationUs_ = 1500;
    event.detail_.epoch_ = Epoch(4);
    event.detail_.version_ = ObjectVersion(77);
    event.detail_.peer_ = NodeId(5);
    event.detail_.partition_ = 6;
    event.detail_.subject_ = "book\"help\n";
    event.detail_.error_ = "notRun";
    return event;
}

// A file under the system's folder for temporary files that goes with the test.
class ScratchFile {
public:
    ScratchFile()
        : path_((std::filesystem::temp_directory_path() / ("jj-events-" + std::to_string(std::random_device {}()))).string())
    {
    }
    ~ScratchFile() { std::remove(path_.c_str()); }
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

} // namespace

TEST_CASE("an event read back from its line is the same event")
{
    const std::string line = toJsonLine(full());
    CHECK(line.find('\n') == std::string::npos);
    const auto back = eventFromJsonLine(line);
    REQUIRE(back);
    CHECK(toJsonLine(*back) == line);
    CHECK(back->request_ == full().request_);
    CHECK(back->detail_.subject_ == "book\"help\n");
    for (std::size_t kind = 0; kind < eventKindCount; ++kind)
        CHECK((eventKindFrom(toString(static_cast<EventKind>(kind))) == static_cast<EventKind>(kind)));
}

// Guards against lines that no JSON reader takes because a peer's name is no UTF-8.
TEST_CASE("an event whose texts are no UTF-8 is written as JSON and read back")
{
    TimelineEvent event = full();
    event.detail_.subject_ = "book\xff";
    event.detail_.error_ = "\xc3\x28";
    const auto back = eventFromJsonLine(toJsonLine(event));
    REQUIRE(back);
    CHECK(back->detail_.subject_ == "book\xef\xbf\xbd");
}

TEST_CASE("mutated event lines are skipped or read and never crash the reader")
{
    std::mt19937_64 random(11);
    const std::string line = toJsonLine(full());
    for (int round = 0; round < 3000; ++round) {
        std::string mutated = line.substr(0, random() % 4 == 0 ? random() % line.size() : line.size());
        for (std::uint64_t change = random() % 4; change > 0 && !mutated.empty(); --change)
            mutated[random() % mutated.size()] = static_cast<char>(random());
        if (const auto event = eventFromJsonLine(mutated))
            CHECK_FALSE(toString(event->kind_).empty());
    }
}

// An operator reads the time line of a process that was killed: its file ends in half a line. The rest has to be there.
TEST_CASE("a torn last line is counted and the events before it are read")
{
    ScratchFile file;
    {
        auto writer = EventWriter::open(file.path(), { "node-1", Incarnation(9) });
        REQUIRE(writer);
        for (int i = 0; i < 5; ++i)
            writer.value()->write(full(), start + std::chrono::milliseconds(i));
    }
    std::filesystem::resize_file(file.path(), std::filesystem::file_size(file.path()) - 10);
    const auto read = readEventFile(file.path());
    REQUIRE(read);
    CHECK(read.value().badLines_ == 1);
    REQUIRE(read.value().events_.size() == 4);
    CHECK(read.value().events_[3].sequence_ == 3);
    CHECK(read.value().events_[3].host_ == "node-1");
    CHECK(readEventFile(file.path() + "-absent").error() == std::errc::no_such_file_or_directory);
}

TEST_CASE("written events reach the file within the flush bound")
{
    ScratchFile file;
    auto writer = EventWriter::open(file.path(), { "node-1", Incarnation(9) }, std::chrono::milliseconds(100));
    REQUIRE(writer);
    writer.value()->write(full(), start);
    writer.value()->flushIfDue(start + std::chrono::milliseconds(99));
    CHECK(readEventFile(file.path()).value().events_.empty());
    writer.value()->flushIfDue(start + std::chrono::milliseconds(100));
    CHECK(readEventFile(file.path()).value().events_.size() == 1);
}

TEST_CASE("the merged time line follows the wall time and keeps each process's order when its clock was set back")
{
    const std::vector<TimelineEvent> events = {
        simple("b", 0, 10, EventKind::RequestAccepted), simple("a", 0, 5, EventKind::ProcessStarted),
        simple("a", 1, 30, EventKind::LeaseTaken), simple("a", 2, 8, EventKind::LeaseLost), simple("b", 1, 20, EventKind::FirstToken)
    };
    const std::vector<TimelineEvent> timeline = mergeTimelines(events);
    std::vector<EventKind> kinds;
    kinds.reserve(timeline.size());
    for (const TimelineEvent& event : timeline)
        kinds.push_back(event.kind_);
    CHECK((kinds == std::vector<EventKind> { EventKind::ProcessStarted, EventKind::RequestAccepted, EventKind::FirstToken, EventKind::LeaseTaken, EventKind::LeaseLost }));
}

TEST_CASE("a time line filtered by request, job, engine or kind holds just those events")
{
    std::vector<TimelineEvent> events = { full(), simple("a", 1, 0, EventKind::LeaseTaken) };
    EventFilter byRequest;
    byRequest.request_ = full().request_;
    CHECK(mergeTimelines(events, byRequest).size() == 1);
    EventFilter byJob;
    byJob.job_ = JobId(4);
    CHECK(mergeTimelines(events, byJob).empty());
    EventFilter byKind;
    byKind.kinds_ = { EventKind::LeaseTaken };
    CHECK(mergeTimelines(events, byKind).size() == 1);
    EventFilter byEngine;
    byEngine.engine_ = UpstreamId(17);
    CHECK((mergeTimelines(events, byEngine).front().kind_ == EventKind::ChunkCommitted));
}

TEST_CASE("the trace file is JSON with a track for each process and spans that begin and end")
{
    TimelineEvent accepted = simple("a", 0, 0, EventKind::RequestAccepted);
    accepted.request_ = RequestId(1);
    TimelineEvent finished = simple("b", 0, 9, EventKind::RequestFinished);
    finished.request_ = RequestId(1);
    std::ostringstream trace;
    writeTimelineTrace({ accepted, finished }, trace);
    const auto entries = boost::json::parse(trace.str()).at("traceEvents").as_array();
    int begins = 0;
    int ends = 0;
    int tracks = 0;
    for (const auto& entry : entries) {
        begins += entry.at("ph") == "b" ? 1 : 0;
        ends += entry.at("ph") == "e" ? 1 : 0;
        tracks += entry.at("ph") == "M" ? 1 : 0;
    }
    CHECK(begins == 1);
    CHECK(ends == 1);
    CHECK(tracks == 2);
    std::ostringstream text;
    writeTimelineText({ accepted }, text);
    CHECK(text.str().find("2026-01-01T00:00:00.000Z  a#1") == 0);
    CHECK(text.str().find("request=0000000000000001") != std::string::npos);
}
