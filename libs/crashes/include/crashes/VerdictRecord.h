// The object of the platform's store that keeps a verdict: a suspect that is blocked, the crashes that count against it, and how many
// trials were spent on it. One object a suspect, under verdictKind and the suspect's fingerprint in hexadecimal.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "crashes/SuspectMessages.h"

#include <string>
#include <string_view>
#include <system_error>

namespace jj {

inline constexpr std::string_view verdictKind = "crash-verdicts/";

enum class CrashError : int {
    BadVerdict = 1, // the object's key or text isn't that of a verdict
};

std::error_code make_error_code(CrashError error);

struct VerdictRecord {
    SuspectRecord suspect_; // without idleAge_ and answeredAge_, which aren't stored
    Duration blockedAge_ {}; // since the suspect was blocked
    // Identifies the write, so that a writer whose answer was lost recognizes its own value.
    std::uint64_t writeId_ = 0;
};

std::string verdictKey(Fingerprint suspect);

// Ages are stored as times of day, since they are read by processes that start later. `wall` is the time of day now.
std::string encode(const VerdictRecord& verdict, WallTime wall);
// Returns CrashError::BadVerdict if key or text can't be read. A time that is in the future, as clocks differ, has the age zero.
Result<VerdictRecord> decodeVerdict(std::string_view key, std::string_view text, WallTime wall);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::CrashError> : std::true_type {
};
