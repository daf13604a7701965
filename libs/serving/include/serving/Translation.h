// What a platform's adapter supplies to a serving node: the platform's names, and functions between its forms and our types.
//
// A translation keeps no state and decides nothing. All functions are pure.
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

namespace jj {

// Headers, as the platform spells them.
struct HeaderNames {
    std::string attemptId_; // of a caller's attempt; engines repeat it
    std::string timeLeft_; // milliseconds that the sender still waits
    std::string resumeAfter_; // id of the last event that the sender holds
    std::string expectInstance_; // the only engine that may run the request
    std::string notExecuted_; // in an engine's answer: it did not run the request
    std::string load_; // in an engine's answer: running, waiting, slots
    std::string retryAfter_; // seconds, may have a fraction
};

// A caller's call about a job; anything else is a request to pass on or a submission.
struct JobRead {
    JobName job_;
    std::uint32_t after_ = 0;
    Duration wait_ {};
};
struct JobBody {
    JobName job_;
    std::string item_;
};
struct JobEnd {
    JobName job_;
};
using JobCall = std::variant<JobRead, JobBody, JobEnd>;

// Objects of the store that operators write.
struct StoreKeys {
    std::string config_; // the configuration in force
    std::string engines_; // prefix of the entries of engines
    std::string retirements_; // prefix of orders to empty a host
};

// The load that an engine states.
struct EngineLoad {
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
};

struct Translation {
    HeaderNames headers_;
    StoreKeys keys_;

    // ---- the operator's and the engines' objects. Errors are logged, and what can't be read is passed over.
    std::function<Checked<RouteConfig>(std::string_view value)> readConfig_;
    // `regions`: of each failure domain.
    std::function<Checked<EngineEntry>(std::string_view key, std::string_view value, const std::map<std::string, std::string>& regions)> readEngine_;
    std::function<std::string(bool completed)> writeRetirement_;

    // ---- callers
    std::function<std::optional<JobCall>(const http::Request&)> readJobCall_;
    std::function<Checked<JobSubmission>(const http::Request&)> readSubmission_;
    std::function<std::string(const ReadAnswer&)> writeResults_;

    // ---- engines
    std::function<std::optional<EngineLoad>(std::string_view header)> readLoad_;
    std::string enginePath_; // answered by an engine that lives, without a slot

    // ---- the store
    std::function<http::Request(const ObjectCall&)> writeStoreCall_;
    // The store's answer, or that none came: the error of the connection, and whether the call may have been read.
    std::function<ObjectAnswer(const ObjectCall&, const Result<http::Response>&, RunState)> readStoreAnswer_;
};

} // namespace jj
