// Tests which slow engines are logged, and that the number of lines is bounded.
#include "SlowEngineLog.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>
#include <vector>

using namespace jj;

namespace {

class LogFixture {
public:
    LogFixture()
        : board_({}, NodeId(1), { CellId(1), RegionId(1), FailureDomainId(1) }, 1)
    {
        for (std::uint64_t engine = 1; engine <= 100; ++engine) {
            EngineEntry entry;
            entry.id_ = UpstreamId(engine);
            entry.name_ = "i-" + std::to_string(engine);
            entry.service_ = "s";
            board_.upsert(entry);
        }
    }
    ~LogFixture()
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    LogFixture(const LogFixture&) = delete;
    LogFixture& operator=(const LogFixture&) = delete;

    // Tells the log that the engines up to this number are slow, and returns how many lines with the word it writes.
    std::ptrdiff_t linesWith(std::string_view word, std::uint64_t slowEngines, TimePoint since, TimePoint now)
    {
        std::vector<EngineSpeeds::SlowEngine> slow;
        for (std::uint64_t engine = 1; engine <= slowEngines; ++engine)
            slow.push_back({ UpstreamId(engine), 4.0, false, since });
        slowEngines_.update(slow, board_, now);
        log_.flush();
        const std::string text = take();
        std::ptrdiff_t found = 0;
        for (std::size_t at = text.find(word); at != std::string::npos; at = text.find(word, at + 1))
            ++found;
        return found;
    }

private:
    static std::array<int, 2> pipeEnds()
    {
        std::array<int, 2> ends {};
        REQUIRE(::pipe(ends.data()) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        return ends;
    }

    std::string take() const
    {
        std::string all;
        std::array<char, 4096> piece {};
        for (ssize_t got = ::read(ends_[0], piece.data(), piece.size()); got > 0; got = ::read(ends_[0], piece.data(), piece.size()))
            all.append(piece.data(), static_cast<std::size_t>(got));
        return all;
    }

    std::array<int, 2> ends_ = pipeEnds();
    DecisionLog log_ { "node-1", 400, ends_[1] };
    CapacityBoard board_;
    SlowEngineLog slowEngines_ { log_ };
};

constexpr TimePoint start { 100s };

} // namespace

TEST_CASE("serving: an engine that stays slow is logged once, and its return too; one that is slow for a moment isn't")
{
    LogFixture fixture;
    CHECK(fixture.linesWith("engineSlow", 1, start, start + 1s) == 0);
    CHECK(fixture.linesWith("engineSlow", 0, start, start + 2s) == 0);
    CHECK(fixture.linesWith("\"engineSlow\"", 1, start + 3s, start + 6s) == 1);
    CHECK(fixture.linesWith("engineSlow", 1, start + 3s, start + 7s) == 0);
    CHECK(fixture.linesWith("\"engineSlowEnded\"", 0, start, start + 8s) == 1);
    CHECK(fixture.linesWith("engineSlow", 0, start, start + 9s) == 0);
}

// Guards against a fleet whose engines turn slow by turns and fill the logs of all hosts.
TEST_CASE("serving: many slow engines write a bounded number of lines")
{
    LogFixture fixture;
    CHECK(fixture.linesWith("engineSlow", 100, start, start + 5s) == SlowEngineLog::maxLines);
    CHECK(fixture.linesWith("engineSlow", 0, start, start + 6s) == 0);
    CHECK(fixture.linesWith("engineSlow", 100, start, start + 20s) == SlowEngineLog::maxLines);
}
