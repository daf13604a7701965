// Requests, answers and errors as the servers and clients of this library show them.
#pragma once

#include "base/Error.h"
#include "base/Time.h"

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace jj::http {

struct Header {
    std::string name_;
    std::string value_;
};

// Names compare without regard to case; a name may stand more than once.
class Headers {
public:
    Headers() = default;
    Headers(std::initializer_list<Header> headers)
        : headers_(headers)
    {
    }

    // The first value of `name`, or empty. The view lives as long as this object is left unchanged.
    std::string_view find(std::string_view name) const;
    bool has(std::string_view name) const;
    void add(std::string name, std::string value) { headers_.push_back({ std::move(name), std::move(value) }); }

    auto begin() const { return headers_.begin(); }
    auto end() const { return headers_.end(); }
    std::size_t size() const { return headers_.size(); }

private:
    std::vector<Header> headers_;
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
    ListenFailed, // the address can't be listened on
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
