// The version of the software that an engine runs. Not the version of its model's weights.
//
// A stream may go on only at an engine with the software version that began it. Versions are compared for equality only.
#pragma once

#include "base/Hash.h"
#include "base/Id.h"

#include <string>
#include <utility>

namespace jj {

// Hash of the version's name; none stands for no version or for any, as its user says.
using SoftwareVersionId = Id<struct SoftwareVersionTag>;

class SoftwareVersion {
public:
    // Engines that state no version count as engines of one version without a name.
    SoftwareVersion()
        : SoftwareVersion(std::string())
    {
    }
    explicit SoftwareVersion(std::string name)
        : name_(std::move(name))
        , id_(idFromName<SoftwareVersionId>(name_))
    {
    }

    const std::string& name() const { return name_; }
    SoftwareVersionId id() const { return id_; }

    friend bool operator==(const SoftwareVersion&, const SoftwareVersion&) = default;

private:
    std::string name_;
    SoftwareVersionId id_;
};

} // namespace jj
