// Requests, answers and errors as the servers and clients of this library show them.
#pragma once

#include "base/Error.h"
#include "base/Time.h"

#include <cstddef>
#include <iterator>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace jj::http {

struct Header {
    std::string name_;
    std::string value_;
};

// A header of a message, as Headers shows it. The views live as long as the Headers are left unchanged.
struct HeaderView {
    std::string_view name_;
    std::string_view value_;
};

// Names compare without regard to case; a name may stand more than once. All names and values stand in one buffer, so that thousands of
// short headers cost about their own bytes.
class Headers {
public:
    class Iterator {
    public:
        using iterator_category = std::input_iterator_tag; // NOLINT(readability-identifier-naming): names of std::iterator_traits
        using value_type = HeaderView; // NOLINT(readability-identifier-naming)
        using difference_type = std::ptrdiff_t; // NOLINT(readability-identifier-naming)
        using pointer = const HeaderView*; // NOLINT(readability-identifier-naming)
        using reference = HeaderView; // NOLINT(readability-identifier-naming)

        explicit Iterator(std::string_view rest)
            : rest_(rest)
        {
        }

        HeaderView operator*() const;
        Iterator& operator++();
        bool operator==(const Iterator& other) const { return rest_.size() == other.rest_.size(); }

    private:
        std::string_view rest_; // records from this header on
    };

    Headers() = default;
    Headers(std::initializer_list<Header> headers)
    {
        for (const Header& header : headers)
            add(header.name_, header.value_);
    }

    // The first value of `name`, or empty. The view lives as long as this object is left unchanged.
    std::string_view find(std::string_view name) const;
    bool has(std::string_view name) const;
    // The views must not be of this object.
    void add(std::string_view name, std::string_view value);

    Iterator begin() const { return Iterator(records_); }
    Iterator end() const { return Iterator({}); }
    std::size_t size() const { return count_; }
    // Memory that the headers take.
    std::size_t bytes() const { return records_.empty() ? 0 : records_.capacity(); }
    // Frees memory beyond the headers' own bytes.
    void shrink() { records_.shrink_to_fit(); }

private:
    // For each header the size of its name, the size of its value, the name and the value. A size is written in groups of seven bits, the
    // lowest first, each in a byte whose highest bit is set if another one follows.
    std::string records_;
    std::size_t count_ = 0;
};

struct Request {
    std::string method_ = "GET";
    std::string target_ = "/";
    Headers headers_;
    std::string body_;

    // The target without its query, and the query's value of `key` (percent-decoded; empty when absent).
    std::string_view path() const;
    std::string query(std::string_view key) const;
};

struct ResponseHead {
    int status_ = 0;
    Headers headers_;
    bool isOnUsedConnection_ = false; // the connection has served another call before
};

struct Response {
    int status_ = 200;
    Headers headers_;
    std::string body_;
};

inline constexpr int statusOk = 200;

enum class Error : int {
    Malformed = 1, // what came isn't HTTP/1.1
    HeaderTooLarge, // over the header limit
    BodyTooLarge, // over the body limit
    Truncated, // the connection ended inside a message
    RequestTooSlow, // a request wasn't complete within its time
    Closed, // the other side closed the connection
    ConnectFailed, // no connection could be made
    ConnectTimedOut, // no connection within the bound
    NoProgress, // a connection without a byte for the idle bound
    Cancelled, // given up by this side
    TooManyConnections, // over the connection limit
    ChunkLineTooLong, // the size line of a chunk, with its extensions, is over its limit
    TrailerTooLarge, // the trailers of a chunked body are over their limit
    TooManyInterimAnswers, // more 1xx answers than a sound server sends
    AnswerTooLarge, // a whole answer is over its limit
    EventTooLarge, // an event of a stream is over its limit
    NoBufferSpace, // the process holds too many bytes for slow peers
    ReaderStalled, // the reader took no byte while others needed the space
    BadBudget, // a byte budget whose shares don't fit its limit
    Unencodable, // a request's method, target or header has no valid form, or is too long for one
};

std::error_code make_error_code(Error error);

// Returns the time of a Retry-After header in seconds, also with a fraction; zero if it can't be read or isn't within an hour.
Duration parseRetryAfter(std::string_view text);

// The body that all errors have towards callers: {"error":{"code":…,"message":…,"run":…}}.
// `code` is a typed name such as "http.BodyTooLarge". retryAfterSeconds below 0 leaves Retry-After out.
Response errorResponse(int status, std::string_view code, std::string_view message, RunState run, int retryAfterSeconds = -1);

} // namespace jj::http

template <>
struct std::is_error_code_enum<jj::http::Error> : std::true_type {
};
