// What server and client share of Beast: the parser, and heads as text. Private to this library.
#pragma once

#include "http/Message.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/optional/optional.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace jj::http::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast::error_code;

// Grows by an eighth instead of doubling: the byte budget counts capacities, and would be exhausted by memory that holds nothing.
inline void reserveFor(std::string& text, std::size_t bytes)
{
    constexpr std::size_t smallBytes = 16 * 1024; // doubling wastes little below it
    constexpr std::size_t growthDivisor = 8;
    const std::size_t needed = text.size() + bytes;
    if (needed <= text.capacity() || needed <= smallBytes)
        return;
    std::string larger; // std::string::reserve() at least doubles
    larger.reserve(needed + needed / growthDivisor);
    larger.append(text);
    text.swap(larger);
}

// Memory that a text takes beside its object.
inline std::size_t heapBytes(const std::string& text) { return text.capacity() > std::string().capacity() ? text.capacity() : 0; }

// Memory that the head of a request takes.
inline std::size_t headBytes(const Request& request) { return heapBytes(request.method_) + heapBytes(request.target_) + request.headers_.bytes(); }

// Statuses that a final answer or an interim one may have. A switch of protocols is neither, since no request here has an Upgrade header.
constexpr bool isStatus(int status)
{
    constexpr int first = 100;
    constexpr int switchingProtocols = 101;
    constexpr int last = 599;
    return status >= first && status <= last && status != switchingProtocols;
}

// An interim answer has no body, and precedes the final one.
constexpr bool isInterim(int status)
{
    constexpr int firstFinal = 200;
    return isStatus(status) && status < firstFinal;
}

// Parses a message into the form of this library. Beast's own container of headers takes some 80 bytes for each one.
//
// The body is appended to, and emptied by the connection as it goes, so that a large body never stands in memory whole. Trailers are
// dropped.
template <bool IsRequest>
class MessageParser : public beast::http::basic_parser<IsRequest> {
public:
    MessageParser(std::size_t headLimit, std::size_t chunkLineLimit)
        : headLimit_(headLimit)
        , chunkLineLimit_(chunkLineLimit)
    {
        this->header_limit(static_cast<std::uint32_t>(headLimit));
        this->body_limit(boost::none);
    }

    // Parses a part of a message and returns how many bytes were taken. Beast's limit for heads holds for what isn't taken yet: lines that
    // arrive whole are taken one by one, so a head of such lines had no limit.
    std::size_t parse(std::string_view data, error_code& error)
    {
        const bool isInHead = !this->is_header_done();
        const std::size_t taken = this->put(asio::buffer(data), error);
        if (!isInHead)
            return taken;
        headBytes_ += taken;
        const std::size_t unfinished = this->is_header_done() ? 0 : data.size() - taken;
        if (headBytes_ + unfinished > headLimit_ && (!error || error == beast::http::error::need_more))
            error = beast::http::error::header_limit;
        return taken;
    }

    unsigned version() const { return version_; }
    int status() const { return status_; }
    const std::string& method() const { return method_; }
    const std::string& target() const { return target_; }
    const Headers& headers() const { return headers_; }
    // A request whose body is empty.
    Request takeHead() { return { std::move(method_), std::move(target_), std::exchange(headers_, {}), {} }; }
    std::string& body() { return body_; }
    // Memory that the head takes.
    std::size_t headBytes() const { return heapBytes(method_) + heapBytes(target_) + headers_.bytes(); }

private:
    using Length = boost::optional<std::uint64_t>;

    void on_request_impl(beast::http::verb /*verb*/, beast::string_view method, beast::string_view target, int version, error_code& error) override
    {
        method_.assign(method.data(), method.size());
        target_.assign(target.data(), target.size());
        version_ = static_cast<unsigned>(version);
        error = {};
    }

    void on_response_impl(int status, beast::string_view /*reason*/, int version, error_code& error) override
    {
        status_ = status;
        version_ = static_cast<unsigned>(version);
        error = {};
        if (!isStatus(status))
            error = beast::http::error::bad_status;
    }

    void on_field_impl(beast::http::field /*field*/, beast::string_view name, beast::string_view value, error_code& error) override
    {
        if (!isInTrailers_)
            headers_.add({ name.data(), name.size() }, { value.data(), value.size() });
        error = {};
    }

    void on_header_impl(error_code& error) override
    {
        isInTrailers_ = true;
        headers_.shrink();
        error = {};
        // What follows would be taken for the final answer.
        if (isInterim(status_) && (headers_.has("Content-Length") || headers_.has("Transfer-Encoding")))
            error = beast::http::error::bad_field;
    }

    void on_body_init_impl(const Length& /*length*/, error_code& error) override { error = {}; }

    std::size_t on_body_impl(beast::string_view data, error_code& error) override
    {
        reserveFor(body_, data.size());
        body_.append(data.data(), data.size());
        error = {};
        return data.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view extensions, error_code& error) override
    {
        error = {};
        if (extensions.size() > chunkLineLimit_)
            error = beast::http::error::bad_chunk_extension;
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, beast::string_view data, error_code& error) override { return on_body_impl(data, error); }

    void on_finish_impl(error_code& error) override { error = {}; }

    std::size_t headLimit_;
    std::size_t chunkLineLimit_;
    std::size_t headBytes_ = 0; // taken so far
    bool isInTrailers_ = false; // header lines that come from now on are trailers
    unsigned version_ = 11;
    int status_ = 0;
    std::string method_;
    std::string target_;
    Headers headers_;
    std::string body_;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

// What remains in the buffer after feed() is the incomplete size line of a chunk, or the last chunk with incomplete trailers. Returns an
// error if it is over its limit: the other side may send such a line without end.
template <class Parser>
std::optional<Error> checkIncomplete(const Parser& parser, const beast::flat_buffer& buffer, std::size_t chunkLineLimit, std::size_t trailerLimit)
{
    if (!parser.chunked() || parser.is_done())
        return std::nullopt;
    constexpr std::string_view lineEnd = "\r\n";
    std::string_view rest(static_cast<const char*>(buffer.data().data()), buffer.size());
    if (rest.starts_with(lineEnd))
        rest.remove_prefix(lineEnd.size()); // ends the data of the chunk before
    const std::size_t sizeLine = std::min(rest.find(lineEnd), rest.size());
    if (sizeLine > chunkLineLimit)
        return Error::ChunkLineTooLong;
    if (rest.size() - sizeLine > trailerLimit)
        return Error::TrailerTooLarge;
    return std::nullopt;
}

inline Error parseError(error_code error)
{
    if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow)
        return Error::HeaderTooLarge;
    if (error == beast::http::error::body_limit)
        return Error::BodyTooLarge;
    if (error == beast::http::error::bad_chunk_extension)
        return Error::ChunkLineTooLong;
    return Error::Malformed;
}

// Parses as much as can be; false when the message is bad. Consumes what was parsed.
template <class Parser>
bool feed(Parser& parser, beast::flat_buffer& buffer, error_code& error)
{
    error = {};
    while (buffer.size() > 0 && !parser.is_done()) {
        const bool headBefore = parser.is_header_done();
        const std::size_t taken = parser.parse({ static_cast<const char*>(buffer.data().data()), buffer.size() }, error);
        buffer.consume(taken);
        if (error == beast::http::error::need_more) {
            error = {};
            return true;
        }
        if (error)
            return false;
        if (!headBefore && parser.is_header_done())
            return true; // the caller looks at the head before any of the body
        if (taken == 0)
            return true;
    }
    return true;
}

// Header values that came from outside may not break out of their line.
inline std::string lineSafe(std::string_view text)
{
    std::string out(text);
    for (char& c : out) {
        if (c == '\r' || c == '\n' || c == '\0')
            c = ' ';
    }
    return out;
}

template <bool IsRequest>
std::string headText(beast::http::message<IsRequest, beast::http::empty_body>& message)
{
    beast::http::serializer<IsRequest, beast::http::empty_body> serializer(message);
    serializer.split(true);
    std::string text;
    error_code error;
    while (!serializer.is_header_done() && !error) {
        serializer.next(error, [&](error_code& inner, const auto& buffers) {
            inner = {};
            for (const asio::const_buffer part : beast::buffers_range_ref(buffers))
                text.append(static_cast<const char*>(part.data()), part.size());
            serializer.consume(beast::buffer_bytes(buffers));
        });
    }
    return text;
}

template <bool IsRequest>
void addHeaders(beast::http::message<IsRequest, beast::http::empty_body>& message, const Headers& headers)
{
    for (const HeaderView header : headers)
        message.insert(lineSafe(header.name_), lineSafe(header.value_));
}

// Headers of one connection, which nobody passes on.
inline bool isHopHeader(std::string_view name)
{
    static constexpr std::string_view names[] = { "connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "te", "trailer", "expect", "proxy-connection" };
    for (const std::string_view hop : names) {
        if (beast::iequals(name, hop))
            return true;
    }
    return false;
}

} // namespace jj::http::detail
