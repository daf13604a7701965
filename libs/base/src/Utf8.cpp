// The ranges of RFC 3629, section 4.
#include "base/Utf8.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace jj {

namespace {

    bool isContinuation(char byte) { return (static_cast<std::uint8_t>(byte) & 0xc0U) == 0x80; }

    // Of a sequence that begins with a byte above 0x7f.
    struct SequenceForm {
        std::size_t length_ = 0; // 0: no sequence begins so
        std::uint8_t secondMin_ = 0x80;
        std::uint8_t secondMax_ = 0xbf;
    };

    SequenceForm formOf(std::uint8_t first)
    {
        if (first >= 0xc2 && first <= 0xdf)
            return { 2 };
        if (first >= 0xe0 && first <= 0xef)
            return { 3, static_cast<std::uint8_t>(first == 0xe0 ? 0xa0 : 0x80), static_cast<std::uint8_t>(first == 0xed ? 0x9f : 0xbf) };
        if (first >= 0xf0 && first <= 0xf4)
            return { 4, static_cast<std::uint8_t>(first == 0xf0 ? 0x90 : 0x80), static_cast<std::uint8_t>(first == 0xf4 ? 0x8f : 0xbf) };
        return {};
    }

    // Returns the length of the character that begins here; 0 if the bytes are no well-formed sequence.
    std::size_t characterBytes(std::string_view bytes)
    {
        const auto first = static_cast<std::uint8_t>(bytes.front());
        if (first < 0x80)
            return 1;
        const SequenceForm form = formOf(first);
        if (form.length_ == 0 || bytes.size() < form.length_)
            return 0;
        const auto second = static_cast<std::uint8_t>(bytes[1]);
        if (second < form.secondMin_ || second > form.secondMax_)
            return 0;
        for (std::size_t next = 2; next < form.length_; ++next) {
            if (!isContinuation(bytes[next]))
                return 0;
        }
        return form.length_;
    }

} // namespace

bool isUtf8(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t length = characterBytes(bytes);
        if (length == 0)
            return false;
        bytes.remove_prefix(length);
    }
    return true;
}

std::string toUtf8(std::string_view bytes)
{
    constexpr std::string_view replacement = "\xef\xbf\xbd";
    std::string text;
    text.reserve(bytes.size());
    while (!bytes.empty()) {
        const std::size_t length = characterBytes(bytes);
        text.append(length > 0 ? bytes.substr(0, length) : replacement);
        bytes.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return text;
}

std::string_view utf8Prefix(std::string_view text, std::size_t maxBytes)
{
    if (text.size() <= maxBytes)
        return text;
    std::size_t end = maxBytes;
    while (end > 0 && isContinuation(text[end]))
        --end;
    return text.substr(0, end);
}

} // namespace jj
