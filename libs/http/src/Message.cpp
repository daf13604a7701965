// Headers, targets and error bodies.
#include "http/Message.h"

#include "base/Number.h"
#include "base/Utf8.h"

#include <boost/beast/core/string.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace jj::http {

namespace {

    class HttpCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "http"; }
        std::string message(int value) const override
        {
            switch (static_cast<Error>(value)) {
            case Error::Malformed:
                return "message is not valid HTTP/1.1";
            case Error::HeaderTooLarge:
                return "header is over its limit";
            case Error::BodyTooLarge:
                return "body is over its limit";
            case Error::Truncated:
                return "connection ended inside a message";
            case Error::RequestTooSlow:
                return "request was not complete within its time";
            case Error::Closed:
                return "the other side closed the connection";
            case Error::ConnectFailed:
                return "no connection could be made";
            case Error::ConnectTimedOut:
                return "no connection within the bound";
            case Error::NoProgress:
                return "no byte within the idle bound";
            case Error::Cancelled:
                return "given up by this side";
            case Error::TooManyConnections:
                return "too many connections";
            case Error::ChunkLineTooLong:
                return "size line of a chunk is over its limit";
            case Error::TrailerTooLarge:
                return "trailers are over their limit";
            case Error::TooManyInterimAnswers:
                return "too many interim answers";
            case Error::AnswerTooLarge:
                return "answer is over its limit";
            case Error::EventTooLarge:
                return "event is over its limit";
            case Error::NoBufferSpace:
                return "too many bytes are held for slow peers";
            case Error::ReaderStalled:
                return "reader took no byte while others needed the space";
            case Error::BadBudget:
                return "byte budget doesn't fit its shares";
            case Error::Unencodable:
                return "request can't be encoded";
            }
            return "unknown http error";
        }
    };

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        const char lower = static_cast<char>(c | 0x20);
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    }

    constexpr unsigned groupBits = 7;
    constexpr unsigned char followBit = 0x80;

    void appendSize(std::string& out, std::size_t size)
    {
        for (; size >= followBit; size >>= groupBits)
            out.push_back(static_cast<char>((size & (followBit - 1)) | followBit));
        out.push_back(static_cast<char>(size));
    }

    // Takes a size off the front of `rest`.
    std::size_t takeSize(std::string_view& rest)
    {
        std::size_t size = 0;
        for (unsigned shift = 0;; shift += groupBits) {
            const auto group = static_cast<unsigned char>(rest.front());
            rest.remove_prefix(1);
            size |= static_cast<std::size_t>(group & (followBit - 1)) << shift;
            if (group < followBit)
                return size;
        }
    }

    // Takes a header off the front of `records`.
    HeaderView takeHeader(std::string_view& records)
    {
        const std::size_t nameBytes = takeSize(records);
        const std::size_t valueBytes = takeSize(records);
        const HeaderView header { records.substr(0, nameBytes), records.substr(nameBytes, valueBytes) };
        records.remove_prefix(nameBytes + valueBytes);
        return header;
    }

    std::string percentDecoded(std::string_view text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const bool escape = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
            if (escape) {
                out.push_back(static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2])));
                i += 2;
            } else {
                out.push_back(text[i] == '+' ? ' ' : text[i]);
            }
        }
        return out;
    }

} // namespace

std::error_code make_error_code(Error error)
{
    static const HttpCategory category;
    return { static_cast<int>(error), category };
}

HeaderView Headers::Iterator::operator*() const
{
    std::string_view rest = rest_;
    return takeHeader(rest);
}

Headers::Iterator& Headers::Iterator::operator++()
{
    takeHeader(rest_);
    return *this;
}

void Headers::add(std::string_view name, std::string_view value)
{
    appendSize(records_, name.size());
    appendSize(records_, value.size());
    records_.append(name);
    records_.append(value);
    ++count_;
}

std::string_view Headers::find(std::string_view name) const
{
    for (const HeaderView header : *this) {
        if (boost::beast::iequals(header.name_, name))
            return header.value_;
    }
    return {};
}

bool Headers::has(std::string_view name) const { return find(name).data() != nullptr; }

std::string_view Request::path() const { return std::string_view(target_).substr(0, target_.find('?')); }

std::string Request::query(std::string_view key) const
{
    const std::size_t mark = target_.find('?');
    std::string_view rest = mark == std::string::npos ? std::string_view() : std::string_view(target_).substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == key)
            return equals == std::string_view::npos ? std::string() : percentDecoded(pair.substr(equals + 1));
    }
    return {};
}

Duration parseRetryAfter(std::string_view text)
{
    constexpr double maxSeconds = 3600;
    return fromSeconds(parseNumber<double>(text, { 0, maxSeconds }).value_or(0));
}

Response errorResponse(int status, std::string_view code, std::string_view message, RunState run, int retryAfterSeconds)
{
    const boost::json::value body = { { "error", { { "code", code }, { "message", toUtf8(message) }, { "run", toString(run) } } } };
    Response response { status, { { "Content-Type", "application/json" } }, boost::json::serialize(body) };
    if (retryAfterSeconds >= 0)
        response.headers_.add("Retry-After", std::to_string(retryAfterSeconds));
    return response;
}

} // namespace jj::http
