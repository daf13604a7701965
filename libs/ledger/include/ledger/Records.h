// What lies in the platform's store of each job, and how it is written.
//
//   jobs/ID             head: how many items, who owns the job, is it open. Changed under its version only.
//   job-items/ID.P      page P of the items, written once when the job is accepted.
//   job-ends/ID         a mark: the job was ended past its owner, who reads the head again when it sees the mark, and removes it.
//   job-results/ID.K    the K-th group of results. Created if absent, never changed. An empty one marks a change of the owner.
//
// A job is accepted when its head and all its item pages exist. Positions of results follow from the order of the result pages. So
// whoever believes to own the job can add a page and never change one: two owners at a time cost work, never a result.
#pragma once

#include "base/Id.h"
#include "base/Result.h"
#include "base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace jj {

// The job's id as its caller chose it. Valid ids are parts of a store key: [A-Za-z0-9._-], at most longestJobName.
using JobName = std::string;
constexpr std::size_t longestJobName = 128;
bool isValidJobName(std::string_view name);

enum class LedgerError : int {
    BadRecord = 1, // an object's text can't be read as what its key says
    BadJobName,
    NoItems,
    DuplicateItem, // two items of a job have the same id
    ItemTooLarge, // one item alone is over the store's limit
};

std::error_code make_error_code(LedgerError error);

enum class JobState : std::uint8_t {
    Open,
    Ended, // its caller ended it; nothing more has to be listed
    Done, // all results are listed
    Void, // never accepted: its items did not all arrive
};

std::string_view toString(JobState state);

struct JobHead {
    std::string host_; // of the caller's request; with an item's path it selects the item's route
    NodeId owner_;
    std::uint32_t total_ = 0;
    std::uint32_t itemPages_ = 0;
    // Grows when an owner writes itself in anew; what others meant to write under an earlier version of the head is refused from then on.
    std::uint32_t term_ = 0;
    WallTime acceptedAt_ {};
    Duration runTarget_ {}; // from acceptance until all results are due
    Duration abandonAfter_ {}; // from acceptance until an item may be given up
    std::uint32_t maxAttempts_ = 1; // runs that an engine may answer with its own failure
    JobState state_ = JobState::Open;
};

using ItemHeaders = std::vector<std::pair<std::string, std::string>>;

struct JobItem {
    std::string id_;
    std::string path_;
    ItemHeaders headers_;
    std::string body_; // base64, as it came
};

enum class ResultState : std::uint8_t {
    Completed,
    Errored,
};

struct JobResult {
    std::string item_;
    ResultState state_ = ResultState::Completed;
    std::string text_; // data of all events, separated by line feeds; empty when errored

    friend bool operator==(const JobResult&, const JobResult&) = default;
};

inline constexpr std::string_view headKind = "jobs/";
inline constexpr std::string_view endMarkKind = "job-ends/";
std::string headKey(std::string_view job);
std::string endMarkKey(std::string_view job);
// The job of a mark's key; empty when it is none.
std::string_view jobOfEndMark(std::string_view key);
std::string itemPageKey(std::string_view job, std::uint32_t page);
std::string resultPageKey(std::string_view job, std::uint32_t page);
// The job of a head's key; empty when it is none.
std::string_view jobOfHeadKey(std::string_view key);

std::string encode(const JobHead& head);
std::string encode(const std::vector<JobItem>& page);
std::string encode(const std::vector<JobResult>& page);

// Error: BadRecord.
Result<JobHead> decodeHead(std::string_view text);
Result<std::vector<JobItem>> decodeItems(std::string_view text);
Result<std::vector<JobResult>> decodeResults(std::string_view text);

// The items in pages that each fit into one object. Errors: NoItems, DuplicateItem, ItemTooLarge.
Checked<std::vector<std::vector<JobItem>>> paged(std::vector<JobItem> items);

// Standard base64 with padding. Error: BadRecord.
Result<std::string> fromBase64(std::string_view text);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::LedgerError> : std::true_type {
};
