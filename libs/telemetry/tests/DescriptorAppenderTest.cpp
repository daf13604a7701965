// What a log does while nobody reads it, and afterwards.
#include "DescriptorAppender.h"

#include "process/NonBlockingWrite.h"

#include <array>
#include <boost/json/parse.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

using namespace jj;

namespace {

constexpr int manyLines = 3000;

class PipedLog {
public:
    PipedLog()
    {
        static const log4cplus::Initializer initializer;
        REQUIRE(::pipe(ends_.data()) == 0);
        setNonBlocking(ends_[0]);
        appender_ = new DescriptorAppender(ends_[1], "host");
        appender_->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    }
    ~PipedLog()
    {
        closeReader();
        ::close(ends_[1]);
    }
    PipedLog(const PipedLog&) = delete;
    PipedLog& operator=(const PipedLog&) = delete;

    void write(int number)
    {
        const std::string text = "{\"event\":\"one\",\"number\":" + std::to_string(number) + ",\"text\":\"" + std::string(200, 'x') + "\"}";
        appender_->doAppend(log4cplus::spi::InternalLoggingEvent("part", log4cplus::INFO_LOG_LEVEL, text, __FILE__, __LINE__));
    }

    std::string read() const
    {
        std::string all;
        std::array<char, 65536> some {};
        for (ssize_t count = 0; (count = ::read(ends_[0], some.data(), some.size())) > 0;)
            all.append(some.data(), static_cast<std::size_t>(count));
        return all;
    }

    void closeReader()
    {
        if (ends_[0] >= 0)
            ::close(std::exchange(ends_[0], -1));
    }

private:
    std::array<int, 2> ends_ {};
    log4cplus::SharedAppenderPtr appender_;
};

} // namespace

// Guards against a log that blocks its process, stays silent once it was full, or loses lines without a word.
TEST_CASE("a log that nobody read goes on with whole lines and says how many it dropped")
{
    PipedLog log;
    for (int number = 0; number < manyLines; ++number)
        log.write(number);
    std::string text;
    constexpr int roundsUntilAllIsRead = 20;
    for (int round = 0; round < roundsUntilAllIsRead; ++round) {
        text += log.read();
        log.write(manyLines + round);
    }
    text += log.read();
    std::uint64_t lines = 0;
    std::uint64_t dropped = 0;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = text.find('\n', at);
        REQUIRE(end != std::string::npos);
        const boost::json::object line = boost::json::parse(text.substr(at, end - at)).as_object();
        if (line.at("event").as_string() == "linesDropped")
            dropped += line.at("count").to_number<std::uint64_t>();
        else
            ++lines;
        at = end + 1;
    }
    CHECK(dropped > 0);
    CHECK(lines + dropped == manyLines + roundsUntilAllIsRead);
}

// Guards against a process that ends because the reader of its log is gone.
TEST_CASE("a log whose reader is gone drops its lines")
{
    std::signal(SIGPIPE, SIG_IGN);
    PipedLog log;
    log.closeReader();
    for (int number = 0; number < manyLines; ++number)
        log.write(number);
}
