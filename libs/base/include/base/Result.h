// The result of whatever can fail: a value, or a typed error. No exception crosses a library's boundary.
//
//     Result<Frame> frame = decodeFrame(bytes);
//     if (!frame) return frame.error();
//
// Result carries a std::error_code and is enough where the caller only has to choose what to do. Checked adds the place the
// error stands at (a key, a line number, a file), for errors that a person has to act on. Both are Boost.Outcome types.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <system_error>

namespace jj {

template <class T>
using Result = boost::outcome_v2::std_result<T>;

inline auto success() { return boost::outcome_v2::success(); }

// A typed error with the place it stands at. The code decides what is done; the detail is for people only.
struct Failure {
    std::error_code code_;
    std::string detail_;

    std::string message() const { return detail_.empty() ? code_.message() : code_.message() + ": " + detail_; }
};

template <class T>
using Checked = boost::outcome_v2::std_unchecked<T, Failure>;

} // namespace jj
