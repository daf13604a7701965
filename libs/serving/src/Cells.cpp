// A power of two, and a hash of each name.
#include "Cells.h"

#include "base/Hash.h"

namespace jj {

bool Cells::setNodes(std::size_t nodes)
{
    const std::uint32_t before = count_;
    while (nodes > mostNodes * count_)
        count_ *= 2;
    while (count_ > 1 && nodes < fewestNodes * count_)
        count_ /= 2;
    return count_ != before;
}

RegionId Cells::cellOf(RegionId region, std::uint64_t member) const
{
    if (count_ == 1)
        return region;
    constexpr std::uint64_t label = 0x63656c6c;
    const std::uint64_t place = mixHash(label, member) & (count_ - 1);
    return RegionId(static_cast<RegionId::Value>(mixHash(region.value(), place + 1)));
}

} // namespace jj
