// What server and client share of Beast: the body type that hands pieces on, and heads as text. Private to this library.
#pragma once

#include "http/Message.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/optional/optional.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace jj::http::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast::error_code;

// A body that the parser appends to and the connection empties as it goes, so that a large body never stands in memory whole.
// Unlike Beast's string_body it doesn't reserve what a Content-Length merely announces.
struct AppendBody {
    using value_type = std::string; // NOLINT(readability-identifier-naming): the name that Beast's Body concept asks for

    class reader { // NOLINT(readability-identifier-naming): as above
    public:
        template <bool IsRequest, class Fields>
        reader(beast::http::header<IsRequest, Fields>& /*header*/, value_type& body)
            : body_(body)
        {
        }

        static void init(const boost::optional<std::uint64_t>& /*length*/, error_code& error) { error = {}; }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, error_code& error)
        {
            error = {};
            std::size_t taken = 0;
            for (const asio::const_buffer part : beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char*>(part.data()), part.size());
                taken += part.size();
            }
            return taken;
        }

        static void finish(error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

using RequestParser = beast::http::request_parser<AppendBody>;
using ResponseParser = beast::http::response_parser<AppendBody>;

// Called by the parser with each chunk's size and extensions.
using ChunkLineCheck = std::function<void(std::uint64_t, beast::string_view, error_code&)>;

inline ChunkLineCheck chunkLineCheck(std::size_t limit)
{
    return [limit](std::uint64_t, beast::string_view extensions, error_code& error) {
        if (extensions.size() > limit)
            error = beast::http::error::bad_chunk_extension;
    };
}

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
        const std::size_t taken = parser.put(buffer.data(), error);
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
    for (const Header& header : headers)
        message.insert(lineSafe(header.name_), lineSafe(header.value_));
}

template <class Fields>
Headers copyHeaders(const Fields& fields)
{
    Headers headers;
    for (const auto& field : fields)
        headers.add(std::string(field.name_string()), std::string(field.value()));
    return headers;
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
