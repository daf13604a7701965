// Parses fields line by line as the HTML standard defines them. Lines end in LF or CRLF.
#include "EventScanner.h"

#include "base/Number.h"
#include "base/Utf8.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace jj {

namespace {

    std::string_view valueOf(std::string_view line, std::string_view name)
    {
        line.remove_prefix(name.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        return line;
    }

    // Returns whether the line is a field, also one that the format doesn't know: engines may add fields of their own.
    bool isField(std::string_view line)
    {
        const auto isNameCharacter = [](char character) { return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_'; };
        const std::string_view name = line.substr(0, line.find(':'));
        return name.size() < line.size() && !name.empty() && std::all_of(name.begin(), name.end(), isNameCharacter);
    }

    void addData(StreamEvent& event, std::string_view value)
    {
        if (std::exchange(event.hasData_, true))
            event.joinedData_ = std::string(event.data()).append("\n").append(value);
        else
            event.firstData_ = value;
    }

    void setId(StreamEvent& event, std::string_view text)
    {
        const auto id = parseNumber<std::uint64_t>(text);
        event.isMalformed_ |= !id || event.id_;
        if (id)
            event.id_ = id;
    }

    // A lost line end joins two lines or two events, so a field that stands twice or out of place makes the event malformed.
    StreamEvent parse(std::string_view raw)
    {
        StreamEvent event;
        event.raw_ = raw;
        std::string_view rest = raw;
        bool wasData = false;
        while (!rest.empty()) {
            const std::size_t end = rest.find('\n');
            std::string_view line = rest.substr(0, end);
            rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            const bool isData = line.starts_with("data:");
            event.isMalformed_ |= isData && event.hasData_ && !wasData;
            if (isData)
                addData(event, valueOf(line, "data:"));
            else if (line.starts_with("id:"))
                setId(event, valueOf(line, "id:"));
            else if (!line.empty() && !line.starts_with(':') && !isField(line))
                event.isMalformed_ = true;
            wasData = isData;
        }
        return event;
    }

    // Returns the end of the first event, or npos if no event is complete. None ends within the first `searched` bytes.
    std::size_t endOfEvent(std::string_view bytes, std::size_t searched)
    {
        constexpr std::size_t overlap = std::string_view("\n\r\n").size() - 1;
        const std::size_t from = searched - std::min(searched, overlap);
        const std::size_t plain = bytes.find("\n\n", from);
        const std::size_t withReturn = bytes.find("\n\r\n", from);
        if (plain == std::string_view::npos && withReturn == std::string_view::npos)
            return std::string_view::npos;
        return plain < withReturn ? plain + 2 : withReturn + 3;
    }

} // namespace

bool StreamEvent::isCorrupt() const { return isMalformed_ || !isUtf8(raw_); }

bool EventScanner::isInsideEvent() const
{
    std::string_view rest = partial_;
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        if (end == std::string_view::npos)
            return true; // an unfinished line
        std::string_view line = rest.substr(0, end);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.empty() && !line.starts_with(':'))
            return true;
        rest.remove_prefix(end + 1);
    }
    return false;
}

std::size_t EventScanner::feed(std::string_view bytes, const std::function<void(const StreamEvent&)>& onEvent)
{
    if (isOverLimit_)
        return 0;
    // Bytes are copied only if an event is split across calls, which is rare. What was searched before isn't searched or copied again:
    // a long event in pieces of a few bytes would take a time that grows with the square of its length.
    std::size_t searched = partial_.size();
    std::string joined;
    if (!partial_.empty()) {
        joined = std::move(partial_);
        joined.append(bytes);
        partial_.clear();
        bytes = joined;
    }
    const std::uint64_t resets = resets_;
    std::size_t events = 0;
    for (std::size_t end = endOfEvent(bytes, searched); end != std::string_view::npos; end = endOfEvent(bytes, searched)) {
        searched = 0;
        ++events;
        onEvent(parse(bytes.substr(0, end)));
        if (resets_ != resets)
            return events;
        bytes.remove_prefix(end);
    }
    isOverLimit_ = bytes.size() > eventLimit_;
    if (isOverLimit_)
        partial_ = {};
    else if (events == 0 && !joined.empty())
        partial_ = std::move(joined);
    else
        partial_.assign(bytes);
    return events;
}

} // namespace jj
