// The forms are those of HTTP/1.1: a name is a token, a value has no control characters, a target has no blanks either.
#include "ItemChecks.h"

#include <algorithm>
#include <string_view>

namespace jj {

namespace {

    constexpr std::size_t separatorBytes = 4; // ": " and the end of a header's line
    constexpr std::size_t maxQuotedBytes = 64; // of an id or name in a message
    constexpr int statusMalformed = 400;
    constexpr int statusHeaderTooLarge = 431;

    bool isControl(char character) { return static_cast<unsigned char>(character) < ' ' || character == '\x7f'; }

    bool isTokenCharacter(char character)
    {
        constexpr std::string_view separators = "()<>@,;:\\\"/[]?={} \t";
        return static_cast<unsigned char>(character) < 0x7f && !isControl(character) && separators.find(character) == std::string_view::npos;
    }

    bool isToken(std::string_view text) { return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter); }

    bool isValue(std::string_view text)
    {
        return std::none_of(text.begin(), text.end(), [](char character) { return isControl(character) && character != '\t'; });
    }

    bool isTarget(std::string_view text)
    {
        return std::none_of(text.begin(), text.end(), [](char character) { return isControl(character) || character == ' '; });
    }

    // The id is sent as a header, and compared with the one that comes back.
    bool isId(std::string_view text) { return isTarget(text); }

    std::string shown(std::string_view text)
    {
        std::string result(text.substr(0, maxQuotedBytes));
        std::replace_if(
            result.begin(), result.end(), [](char character) { return isControl(character) || static_cast<unsigned char>(character) > '~'; }, '?');
        return result;
    }

    std::string_view malformedField(const JobItem& item)
    {
        if (!isId(item.id_))
            return "id";
        if (!isTarget(item.path_))
            return "path";
        const auto isMalformed = [](const auto& header) { return !isToken(header.first) || !isValue(header.second); };
        const auto found = std::find_if(item.headers_.begin(), item.headers_.end(), isMalformed);
        if (found == item.headers_.end())
            return {};
        return found->first.empty() ? std::string_view("header without a name") : std::string_view(found->first);
    }

    // Returns the size of the item's header, and the largest field of it.
    std::pair<std::size_t, std::string_view> headerSize(const JobItem& item)
    {
        std::size_t total = item.id_.size() + item.path_.size();
        std::size_t largest = total;
        std::string_view field = "path and id";
        for (const auto& [name, value] : item.headers_) {
            const std::size_t bytes = name.size() + value.size() + separatorBytes;
            total += bytes;
            if (bytes <= largest)
                continue;
            largest = bytes;
            field = name;
        }
        return { total, field };
    }

} // namespace

std::optional<ItemFault> findItemFault(const JobSubmission& job, std::size_t headerLimit)
{
    for (const JobItem& item : job.items_) {
        if (const std::string_view field = malformedField(item); !field.empty())
            return ItemFault { statusMalformed, "job.ItemMalformed", "item " + shown(item.id_) + ": " + shown(field) + " has no form that a request may have" };
        const auto [bytes, field] = headerSize(item);
        if (bytes > headerLimit)
            return ItemFault { statusHeaderTooLarge, "job.HeaderTooLarge", "item " + shown(item.id_) + ": its header has " + std::to_string(bytes) + " bytes, most of them in " + shown(field) + "; the limit is " + std::to_string(headerLimit) };
    }
    return std::nullopt;
}

} // namespace jj
