// The claim of a waiting request on the next free slot, compared between the requests of a node and between nodes.
#pragma once

#include <compare>
#include <cstdint>

namespace jj {

// A priority as the configuration states it; 0 is the most urgent.
using Rank = std::uint8_t;

// A lower claim goes first. Claims of a fleet without shares and priorities are all equal.
struct Claim {
    Rank rank_ = 0;
    float usage_ = 0; // slot time that the workspace has used recently, relative to its weight

    // clang-tidy 14 takes the zero inside the generated comparison for a null pointer.
    friend auto operator<=>(const Claim&, const Claim&) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace jj
