// Parses fields line by line as the HTML standard defines them. Lines end in LF or CRLF.
#include "EventScanner.h"

#include "base/Utf8.h"

#include <algorithm>
#include <charconv>
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

    StreamEvent parse(std::string_view raw)
    {
        StreamEvent event;
        event.raw_ = raw;
        std::string_view rest = raw;
        while (!rest.empty()) {
            const std::size_t end = rest.find('\n');
            std::string_view line = rest.substr(0, end);
            rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            if (line.starts_with("data:")) {
                const std::string_view value = valueOf(line, "data:");
                if (std::exchange(event.hasData_, true))
                    event.joinedData_ = std::string(event.data()).append("\n").append(value);
                else
                    event.firstData_ = value;
            } else if (line.starts_with("id:")) {
                const std::string_view text = valueOf(line, "id:");
                std::uint64_t id = 0;
                const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), id);
                if (error == std::errc() && stop == text.data() + text.size())
                    event.id_ = id;
            } else if (!line.empty() && !line.starts_with(':') && !line.starts_with("event:") && !line.starts_with("retry:")) {
                event.hasUnknownField_ = true;
            }
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

// Engines may add fields of their own to an event.
bool StreamEvent::isSpoilt() const
{
    const bool isJunk = hasUnknownField_ && !hasData_ && !id_;
    return isJunk || hasData_ != id_.has_value() || !isUtf8(data());
}

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
