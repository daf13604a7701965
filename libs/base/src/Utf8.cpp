// The ranges of RFC 3629, section 4.
#include "base/Utf8.h"

#include <cstddef>
#include <cstdint>

namespace jj {

namespace {

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

} // namespace

bool isUtf8(std::string_view bytes)
{
    for (std::size_t at = 0; at < bytes.size();) {
        const auto first = static_cast<std::uint8_t>(bytes[at]);
        if (first < 0x80) {
            ++at;
            continue;
        }
        const SequenceForm form = formOf(first);
        if (form.length_ == 0 || bytes.size() - at < form.length_)
            return false;
        const auto second = static_cast<std::uint8_t>(bytes[at + 1]);
        if (second < form.secondMin_ || second > form.secondMax_)
            return false;
        for (std::size_t next = 2; next < form.length_; ++next) {
            if ((static_cast<std::uint8_t>(bytes[at + next]) & 0xc0U) != 0x80)
                return false;
        }
        at += form.length_;
    }
    return true;
}

} // namespace jj
