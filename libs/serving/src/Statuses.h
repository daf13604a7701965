// Status codes of answers, and what they promise a caller.
#pragma once

namespace jj {

inline constexpr int firstNonSuccess = 300;
inline constexpr int statusRequestTimeout = 408;
inline constexpr int statusMisdirected = 421;
inline constexpr int statusTooManyRequests = 429;
inline constexpr int firstServerError = 500;
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;

// Returns whether callers take the status as a promise that the request has not run and never will, so that they send it again.
constexpr bool promisesNotRun(int status)
{
    return status == statusRequestTimeout || status == statusMisdirected || status == statusTooManyRequests || status == statusUnavailable;
}

} // namespace jj
