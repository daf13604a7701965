// Formats into a buffer on the stack: no allocation, no locale, no stream.
#include "process/FinalLine.h"

#include "process/StandardStreams.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <ctime>
#include <unistd.h>

namespace jj {

namespace {

    constexpr std::size_t maxValueBytes = 200;
    constexpr std::size_t maxLineBytes = 1024;

    struct Text {
        std::array<char, maxValueBytes> bytes_ {};
        std::size_t size_ = 0;
    };

    Text hostName;

    class LineBuffer {
    public:
        void append(std::string_view text)
        {
            const std::size_t count = std::min(text.size(), bytes_.size() - size_);
            std::copy_n(text.data(), count, bytes_.data() + size_);
            size_ += count;
        }

        void appendText(std::string_view text)
        {
            append("\"");
            for (const char c : text.substr(0, maxValueBytes)) {
                const auto code = static_cast<unsigned char>(c);
                constexpr unsigned char firstPrintable = 0x20;
                constexpr unsigned char lastPrintable = 0x7e;
                const bool isPlain = code >= firstPrintable && code <= lastPrintable && c != '"' && c != '\\';
                append(isPlain ? std::string_view(&c, 1) : std::string_view("?"));
            }
            append("\"");
        }

        void appendNumber(std::uint64_t number)
        {
            std::array<char, 20> digits {};
            auto at = digits.end();
            constexpr std::uint64_t base = 10;
            do {
                *--at = static_cast<char>('0' + number % base);
                number /= base;
            } while (number > 0);
            append({ at, static_cast<std::size_t>(digits.end() - at) });
        }

        void write() const
        {
            writeAtOnce(STDOUT_FILENO, { bytes_.data(), size_ });
        }

    private:
        std::array<char, maxLineBytes> bytes_ {};
        std::size_t size_ = 0;
    };

    std::uint64_t millisecondsNow()
    {
        timespec now {};
        ::clock_gettime(CLOCK_REALTIME, &now);
        constexpr std::uint64_t perSecond = 1000;
        constexpr std::uint64_t nanoseconds = 1'000'000;
        return static_cast<std::uint64_t>(now.tv_sec) * perSecond + static_cast<std::uint64_t>(now.tv_nsec) / nanoseconds;
    }

} // namespace

void setFinalLineHost(std::string_view host) noexcept
{
    hostName.size_ = std::min(host.size(), hostName.bytes_.size());
    std::copy_n(host.data(), hostName.size_, hostName.bytes_.data());
}

void writeFinalLine(std::string_view event, std::string_view key, std::string_view value) noexcept
{
    LineBuffer line;
    line.append("{\"ts\":");
    line.appendNumber(millisecondsNow());
    line.append(",\"host\":");
    line.appendText({ hostName.bytes_.data(), hostName.size_ });
    line.append(",\"event\":");
    line.appendText(event);
    line.append(",");
    line.appendText(key);
    line.append(":");
    line.appendText(value);
    line.append("}\n");
    line.write();
}

} // namespace jj
