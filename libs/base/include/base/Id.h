// Strong ids: a number that names one kind of thing and cannot be mixed up with another kind's number.
//
// An id is a small value: copy it, compare it, use it as a key. Ids carry no behaviour and own nothing. A default-constructed
// id is `none` (all bits set) and names nothing.
//
//     RequestId request = RequestId(17);
//     if (request.isNone()) ...
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <ostream>

namespace jj {

template <class Tag, class Rep = std::uint64_t>
class Id {
public:
    using Value = Rep;

    constexpr Id() = default;
    constexpr explicit Id(Rep value)
        : value_(value)
    {
    }

    static constexpr Id none() { return Id(); }
    constexpr bool isNone() const { return value_ == noneValue; }
    constexpr Rep value() const { return value_; }

    // clang-tidy 14 takes the zero inside the generated comparison for a null pointer.
    friend constexpr auto operator<=>(Id, Id) = default; // NOLINT(modernize-use-nullptr)
    friend std::ostream& operator<<(std::ostream& out, Id id) { return out << id.value_; }

    // Called by cereal; the template keeps cereal's headers out of this file.
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(value_);
    }

private:
    static constexpr Rep noneValue = std::numeric_limits<Rep>::max();

    Rep value_ = noneValue;
};

// An entry host of the fleet, by the hash of its address; stable over restarts of the process on it.
using NodeId = Id<struct NodeTag>;
// One model engine or one replica of a plain service (an upstream), by the hash of its address.
using UpstreamId = Id<struct UpstreamTag>;
// A service that operators created, by the hash of its name.
using ServiceId = Id<struct ServiceTag>;
// A caller's workspace, by the hash of its name: the unit of fairness.
using WorkspaceId = Id<struct WorkspaceTag>;
using RegionId = Id<struct RegionTag, std::uint32_t>;
using FailureDomainId = Id<struct FailureDomainTag, std::uint32_t>;
// A group of hosts that report each change of their load to each other.
using CellId = Id<struct CellTag, std::uint32_t>;
// One request of a caller, or one run of a batch item; unique over the fleet (node, incarnation and counter are mixed in).
using RequestId = Id<struct RequestTag>;
using JobId = Id<struct JobTag>;
// Position of an item in its job, from 0.
using ItemIndex = Id<struct ItemTag, std::uint32_t>;
// Digest of a request's content, or the id of a part of its prompt: by these, requests that crash upstreams are recognised.
using Fingerprint = Id<struct FingerprintTag>;
// Digest of a prompt's first part, for affinity to engines' prefix caches.
using PrefixId = Id<struct PrefixTag>;

// Grows each time the process on a host starts or finds itself out of date.
using Incarnation = Id<struct IncarnationTag>;
// Fencing number of a lease: grows by one with each new holder.
using Epoch = Id<struct EpochTag>;
// Version of an object in the platform's object API; grows with each change of any object.
using ObjectVersion = Id<struct ObjectVersionTag>;
// Number of a service configuration; the platform's version of the object that holds it.
using ConfigVersion = Id<struct ConfigVersionTag>;

} // namespace jj

template <class Tag, class Rep>
struct std::hash<jj::Id<Tag, Rep>> {
    std::size_t operator()(jj::Id<Tag, Rep> id) const noexcept { return std::hash<Rep>()(id.value()); }
};
