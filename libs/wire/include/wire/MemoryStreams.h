// Streams over plain memory, for cereal's archives.
#pragma once

#include <streambuf>
#include <string>
#include <string_view>

namespace jj {

// Appends what is written to a string.
class StringSink : public std::streambuf {
public:
    explicit StringSink(std::string& out)
        : out_(out)
    {
    }

protected:
    std::streamsize xsputn(const char* data, std::streamsize size) override
    {
        out_.append(data, static_cast<std::size_t>(size));
        return size;
    }

    int_type overflow(int_type byte) override
    {
        out_.push_back(traits_type::to_char_type(byte));
        return byte;
    }

private:
    std::string& out_;
};

// Reads from memory that outlives it.
class ViewSource : public std::streambuf {
public:
    explicit ViewSource(std::string_view bytes)
    {
        char* begin = const_cast<char*>(bytes.data()); // a get area is never written to
        setg(begin, begin, begin + bytes.size());
    }

    bool isEmpty() const { return gptr() == egptr(); }
};

} // namespace jj
