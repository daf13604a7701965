// Accepting a configuration: the one conditional write that does it, and what came of it.
//
// Operators race: each bases a change on the version that it has read. The store lets one win; the other gets a typed conflict with
// both versions, and neither overwrites what it hasn't seen. Send the call through CallQueue, which settles lost answers by
// reading back; the writer's mark in the value tells one operator's write from another's with the same content.
#pragma once

#include "base/Id.h"
#include "base/Result.h"
#include "objects/ObjectApi.h"

#include <string>
#include <string_view>

namespace jj {

enum class ConfigWriteError : int {
    Conflict = 1, // another configuration was accepted first
    Refused, // the store took nothing: too large, or the call was bad
    NotReached, // outage; nothing was accepted
    OutcomeUnknown, // it may have been accepted: read what stands before trying again
};

std::error_code make_error_code(ConfigWriteError error);

struct ConfigWriteOutcome {
    std::error_code error_; // empty: accepted
    ConfigVersion basedOn_; // what the operator had read; none: nothing stood
    ConfigVersion standing_; // accepted: the new version. Conflict: the one that won, none when unknown
};

// `basedOn` none: only if no configuration stands. `mark` is one line, unique to the writer.
ObjectCall configWriteCall(std::string_view key, std::string_view ini, std::string_view mark, ConfigVersion basedOn);

ConfigWriteOutcome configWriteOutcome(const ObjectAnswer& answer, ConfigVersion basedOn);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::ConfigWriteError> : std::true_type {
};
