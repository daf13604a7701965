// What a writer does with a file, in particular while a write takes long. Pipes are covered by NonBlockingWriteTest.cpp.
#include "process/DescriptorWriter.h"

#include <array>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <string>
#include <unistd.h>

using namespace jj;

namespace {

class TemporaryFile {
public:
    TemporaryFile()
        : descriptor_(::mkstemp(path_.data()))
    {
        REQUIRE(descriptor_ >= 0);
    }
    ~TemporaryFile()
    {
        ::close(descriptor_);
        ::unlink(path_.data());
    }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    int descriptor() const { return descriptor_; }
    std::string text() const
    {
        std::ifstream file(path_);
        return { std::istreambuf_iterator<char>(file), {} };
    }

private:
    std::string path_ = "/tmp/jayjunction-writer-XXXXXX";
    int descriptor_;
};

constexpr std::size_t capacity = 4096;

} // namespace

TEST_CASE("process: texts for a file are written in order, and all of them before the end")
{
    const TemporaryFile file;
    std::string expected;
    {
        DescriptorWriter writer(file.descriptor(), capacity);
        std::string buffer;
        for (int number = 0; number < 2000; ++number) {
            const std::string line = "line " + std::to_string(number) + "\n";
            expected += line;
            buffer += line;
            CHECK_FALSE(writer.write(buffer));
            if (buffer.size() > capacity / 2)
                writer.finish(buffer, 10s);
        }
        writer.finish(buffer, 10s);
        CHECK(buffer.empty());
    }
    CHECK(file.text() == expected);
}

// Guards against text that is written twice, or never, because a write to a file failed.
TEST_CASE("process: text for a file whose write failed is written by a later one")
{
    const TemporaryFile file;
    const int reading = ::open("/dev/null", O_RDONLY);
    const int writable = ::dup(file.descriptor());
    const int descriptor = ::dup(file.descriptor());
    DescriptorWriter writer(descriptor, capacity);
    REQUIRE(::dup2(reading, descriptor) == descriptor);
    std::string buffer = "first\n";
    writer.finish(buffer, 10s);
    CHECK(file.text().empty());
    buffer = "second\n";
    std::error_code error;
    for (int tries = 0; !error && tries < 10'000; ++tries) {
        error = writer.write(buffer);
        ::usleep(1000);
    }
    CHECK(error == std::errc::bad_file_descriptor);
    REQUIRE(::dup2(writable, descriptor) == descriptor);
    writer.finish(buffer, 10s);
    writer.finish(buffer, 10s);
    CHECK(file.text() == "first\nsecond\n");
    for (const int each : { reading, writable })
        ::close(each);
}
