// Stated outcomes: bounds on the figures of a replay, in an INI file.
//
//     [outcomes]
//     lost = = 0
//     ttft_p99_ms = <= 250
//     deadlines_kept_share = >= 0.999
//
// The names are those of figuresOf (Measures.h). A bound is one of `<=`, `>=`, `=` and a number.
#pragma once

#include "base/Result.h"

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace jj {

enum class OutcomeError : int {
    Syntax = 1, // not INI, or no section [outcomes]
    Bound, // no comparison and number
    Unknown, // no figure of that name
};
std::error_code make_error_code(OutcomeError error);

enum class Comparison : std::uint8_t {
    AtMost,
    AtLeast,
    Equal,
};

struct Outcome {
    std::string figure_;
    Comparison comparison_ = Comparison::AtMost;
    double bound_ = 0;
};

struct Verdict {
    Outcome outcome_;
    double value_ = 0;
    bool holds_ = false;
};

// The failure's detail names the figure.
Checked<std::vector<Outcome>> readOutcomes(std::istream& in);
Checked<std::vector<Verdict>> judge(const std::vector<Outcome>& outcomes, const std::map<std::string, double>& figures);
std::string toString(const Verdict& verdict);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::OutcomeError> : std::true_type {
};
