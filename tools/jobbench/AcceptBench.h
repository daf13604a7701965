// Memory of accepting one large job.
#pragma once

#include <cstddef>
#include <cstdint>

namespace jj {

struct AcceptFigures {
    double residentGrowthMb_ = 0; // peak over the whole upload
    double itemsPerSecond_ = 0; // processor time of this process
    std::uint64_t storeWrites_ = 0;
    std::uint64_t storedBytes_ = 0;
    bool accepted_ = false;
};

// Streams `items` lines of `lineBytes` into a core whose store answers at once and keeps nothing but the manifest.
AcceptFigures measureAccept(std::uint32_t items, std::size_t lineBytes);

} // namespace jj
