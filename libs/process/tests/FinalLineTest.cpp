#include "process/FinalLine.h"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <unistd.h>

namespace {

// What is written to standard output while this exists.
class CapturedOutput {
public:
    CapturedOutput()
    {
        REQUIRE(::pipe(ends_.data()) == 0);
        saved_ = ::dup(STDOUT_FILENO);
        ::dup2(ends_[1], STDOUT_FILENO);
    }

    std::string finish()
    {
        ::dup2(saved_, STDOUT_FILENO);
        ::close(saved_);
        ::close(ends_[1]);
        std::string text(4096, '\0');
        const ssize_t size = ::read(ends_[0], text.data(), text.size());
        ::close(ends_[0]);
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

private:
    std::array<int, 2> ends_ {};
    int saved_ = -1;
};

} // namespace

// Guards against a last line that names neither the time nor the host.
TEST_CASE("process: a final line has time, host, event and cause")
{
    jj::setFinalLineHost("edge-1");
    CapturedOutput output;
    jj::writeFinalLine("crashed", "signal", "SIGSEGV");
    const std::string line = output.finish();
    CHECK(line.starts_with("{\"ts\":1"));
    CHECK(line.ends_with(",\"host\":\"edge-1\",\"event\":\"crashed\",\"signal\":\"SIGSEGV\"}\n"));
}

// Guards against a last line that is no JSON because of the text of an exception, or that is unbounded.
TEST_CASE("process: a final line holds no byte that JSON escapes and is bounded")
{
    jj::setFinalLineHost("edge-1");
    CapturedOutput output;
    jj::writeFinalLine("crashed", "error", "a \"quoted\\\n\xff" + std::string(5000, 'x'));
    const std::string line = output.finish();
    CHECK(line.find("\"error\":\"a ?quoted???xxx") != std::string::npos);
    CHECK(line.size() < 512);
    CHECK(line.ends_with("\"}\n"));
}
