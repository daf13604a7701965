// Events as JSON lines, both ways.
#include "base/Number.h"
#include "base/Utf8.h"
#include "events/TimelineEvent.h"

#include <boost/json.hpp>
#include <charconv>

namespace jj {

namespace json = boost::json;

namespace {

    constexpr int hexDigits = 16;

    template <class IdType>
    void putId(json::object& line, std::string_view key, IdType id)
    {
        if (!id.isNone())
            line[key] = idText(id.value());
    }

    // Numbers that only grow read better in decimal.
    template <class IdType>
    void putCounter(json::object& line, std::string_view key, IdType id)
    {
        if (!id.isNone())
            line[key] = id.value();
    }

    void putNumber(json::object& line, std::string_view key, std::int64_t value)
    {
        if (value >= 0)
            line[key] = value;
    }

    void putText(json::object& line, std::string_view key, const std::string& text)
    {
        if (!text.empty())
            line[key] = toUtf8(text);
    }

    template <class Number>
    void readNumber(const json::object& line, std::string_view key, Number& value)
    {
        const json::value* found = line.if_contains(key);
        if (found == nullptr)
            return;
        boost::system::error_code error;
        const auto number = found->to_number<Number>(error);
        if (!error)
            value = number;
    }

    template <class IdType>
    void readCounter(const json::object& line, std::string_view key, IdType& id)
    {
        typename IdType::Value value = id.value();
        readNumber(line, key, value);
        id = IdType(value);
    }

    void readText(const json::object& line, std::string_view key, std::string& text)
    {
        const json::value* found = line.if_contains(key);
        if (found != nullptr && found->is_string())
            text = std::string_view(found->get_string());
    }

    template <class IdType>
    void readId(const json::object& line, std::string_view key, IdType& id)
    {
        std::string text;
        readText(line, key, text);
        if (const auto value = idFromText(text))
            id = IdType(*value);
    }

    void putDetail(json::object& line, const EventDetail& detail)
    {
        putNumber(line, "attempt", detail.attempt_);
        putNumber(line, "position", detail.position_);
        putNumber(line, "count", detail.count_);
        putNumber(line, "durationUs", detail.durationUs_);
        putCounter(line, "epoch", detail.epoch_);
        putCounter(line, "version", detail.version_);
        putId(line, "peer", detail.peer_);
        if (detail.partition_ != EventDetail::noPartition)
            line["partition"] = detail.partition_;
        putText(line, "subject", detail.subject_);
        putText(line, "error", detail.error_);
    }

    void readDetail(const json::object& line, EventDetail& detail)
    {
        readNumber(line, "attempt", detail.attempt_);
        readNumber(line, "position", detail.position_);
        readNumber(line, "count", detail.count_);
        readNumber(line, "durationUs", detail.durationUs_);
        readCounter(line, "epoch", detail.epoch_);
        readCounter(line, "version", detail.version_);
        readId(line, "peer", detail.peer_);
        readNumber(line, "partition", detail.partition_);
        readText(line, "subject", detail.subject_);
        readText(line, "error", detail.error_);
    }

} // namespace

std::string idText(std::uint64_t value)
{
    std::string text(hexDigits, '0');
    char digits[hexDigits];
    const auto end = std::to_chars(digits, digits + hexDigits, value, 16).ptr;
    std::copy(digits, end, text.end() - (end - digits));
    return text;
}

std::optional<std::uint64_t> idFromText(std::string_view text) { return parseHex(text); }

std::string toJsonLine(const TimelineEvent& event)
{
    json::object line;
    line["at"] = event.at_.time_since_epoch().count();
    line["host"] = event.host_;
    putCounter(line, "incarnation", event.incarnation_);
    line["seq"] = event.sequence_;
    line["kind"] = toString(event.kind_);
    putId(line, "request", event.request_);
    putId(line, "job", event.job_);
    putCounter(line, "item", event.item_);
    putId(line, "engine", event.engine_);
    putDetail(line, event.detail_);
    return json::serialize(line);
}

std::optional<TimelineEvent> eventFromJsonLine(std::string_view text)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(text, error);
    if (error || !parsed.is_object())
        return std::nullopt;
    const json::object& line = parsed.get_object();
    std::string kind;
    readText(line, "kind", kind);
    const auto known = eventKindFrom(kind);
    if (!known || !line.contains("at") || !line.contains("host"))
        return std::nullopt;
    TimelineEvent event;
    event.kind_ = *known;
    std::int64_t at = 0;
    readNumber(line, "at", at);
    event.at_ = WallTime(std::chrono::milliseconds(at));
    readText(line, "host", event.host_);
    readCounter(line, "incarnation", event.incarnation_);
    readNumber(line, "seq", event.sequence_);
    readId(line, "request", event.request_);
    readId(line, "job", event.job_);
    readCounter(line, "item", event.item_);
    readId(line, "engine", event.engine_);
    readDetail(line, event.detail_);
    return event;
}

} // namespace jj
