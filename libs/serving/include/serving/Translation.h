// Defines what a platform's adapter supplies to a serving node: the platform's header names and keys, and functions that convert
// between the platform's formats and the types of this project.
//
// A translation has no state and makes no decisions. All its functions are pure.
#pragma once

#include "base/Result.h"
#include "capacity/CapacityBoard.h"
#include "http/Message.h"
#include "ledger/JobScheduler.h"
#include "objects/ObjectApi.h"
#include "routes/RouteTable.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jj {

// Names of HTTP headers as the platform spells them.
struct HeaderNames {
    std::string attemptId_; // identifies a caller's attempt; engines echo it in their responses
    std::string timeLeft_; // milliseconds that the sender will still wait for the response
    std::string resumeAfter_; // id of the last event that the sender has received
    std::string resumes_; // attempt id of the caller's attempt that brought the stream's first event
    std::string expectInstance_; // the only engine instance that may run the request
    std::string notExecuted_; // in an engine's response: the engine did not run the request
    std::string seal_; // in an engine's response: its signature, without which a success doesn't count
    std::string load_; // in an engine's response: counts of running requests, waiting requests and slots
    std::string retryAfter_; // seconds, possibly with a fraction
    std::string credentials_; // holds the caller's key; never forwarded to engines
    std::string workspace_; // tells an engine the workspace of the request
    std::string promptParts_; // lists the parts of the request's prompt
    std::string expectVersion_; // the only version of an engine's weights at which the request may run
};

// A caller's request about an existing job: read a page of results, read the result of one item, or cancel the job. Every other
// request of a caller is either forwarded to an engine or submits a job.
struct JobReadRequest {
    JobName job_;
    std::uint32_t after_ = 0;
    Duration wait_ {};
};
struct ItemBodyRequest {
    JobName job_;
    std::string item_;
};
struct JobCancelRequest {
    JobName job_;
};
using JobRequest = std::variant<JobReadRequest, ItemBodyRequest, JobCancelRequest>;

// Keys of the store's objects that the platform's operators and engines write.
struct StoreKeys {
    std::string config_; // key of the current configuration
    std::string engines_; // key prefix of the engines' entries
    std::string retirements_; // key prefix of the operators' orders to drain a host
};

// The load that an engine reports.
struct EngineLoad {
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::optional<std::uint32_t> slowdownPercent_ {}; // how long work takes now; 100: as usual
};

struct Translation {
    HeaderNames headers_;
    StoreKeys keys_;

    // ---- objects written by operators and engines. On a parse error the node logs the error and ignores the object. An engine
    // whose entry becomes unreadable is no longer used.
    std::function<Checked<RouteConfig>(std::string_view value)> parseConfig_;
    // `regions` maps each failure domain to its region.
    std::function<Checked<EngineEntry>(std::string_view key, std::string_view value, const std::map<std::string, std::string>& regions)> parseEngine_;
    std::function<std::string(bool completed)> formatRetirement_;

    // ---- callers
    // Returns the fingerprint of the caller's key; none if the request has no key, several, or one in another form.
    std::function<std::optional<KeyFingerprint>(const http::Request&)> parseKey_;
    // Returns the parts of a prompt that other requests may have too, in the order of the prompt. `text` is the value of the header
    // promptParts_. An unreadable list has no parts.
    std::function<std::vector<Fingerprint>(std::string_view text)> parseSharedParts_;
    // Returns none if the request is no call about a job.
    std::function<std::optional<Checked<JobRequest>>(const http::Request&)> parseJobRequest_;
    std::function<Checked<JobSubmission>(const http::Request&)> parseSubmission_;
    std::function<std::string(const ReadAnswer&)> formatResults_;

    // ---- engines
    std::function<std::optional<EngineLoad>(std::string_view header)> parseLoad_;
    std::string engineHealthPath_; // a live engine answers this path without using a slot

    // ---- the store
    std::function<http::Request(const ObjectCall&)> buildStoreRequest_;
    // Converts the store's response. Without a response, the result holds the connection error, and RunState says whether the store
    // may have read the request.
    std::function<ObjectAnswer(const ObjectCall&, const Result<http::Response>&, RunState)> parseStoreAnswer_;
};

} // namespace jj
