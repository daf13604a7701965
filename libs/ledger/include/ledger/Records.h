// The objects of a job in the platform's store, and their encoding.
//
//   jobs/ID             head: the number of items, the owner, the state. Updated only if its version is unchanged.
//   job-items/ID.P      page P of the items. Written once, when the job is accepted.
//   job-ends/ID         mark: the job was cancelled bypassing its owner. The owner then stops its runs, reads the head and removes the mark.
//                       A mark that no owner has seen is removed with the head.
//   job-results/ID.K    page K of the results. Created only if absent, never changed. An empty page marks a change of the owner.
//
// A job is accepted when its head and all its item pages exist. The order of the result pages defines the positions of the results. A node
// that believes it owns the job can therefore add pages but never change one: two simultaneous owners may duplicate work, but never a
// result.
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

// The id that the caller chose for the job. A valid id can be part of a store key: [A-Za-z0-9._-], at most maxJobNameLength characters.
using JobName = std::string;
constexpr std::size_t maxJobNameLength = 128;
bool isValidJobName(std::string_view name);

enum class LedgerError : int {
    BadRecord = 1, // the object's text can't be decoded as the record that its key names
    BadJobName,
    NoItems,
    DuplicateItem, // two items of a job have the same id
    ItemTooLarge, // a single item exceeds the store's size limit
};

std::error_code make_error_code(LedgerError error);

enum class JobState : std::uint8_t {
    Open,
    Cancelled, // by its caller; no further results are needed
    Done, // all results are listed
    Void, // never accepted, because some of its items didn't arrive
};

std::string_view toString(JobState state);

struct JobHead {
    std::string workspace_; // name of the workspace that submitted the job; empty: none
    std::string host_; // host name of the caller's request; together with an item's path it selects the item's route
    NodeId owner_;
    std::uint32_t total_ = 0;
    std::uint32_t itemPages_ = 0;
    // Incremented when an owner rewrites the head to confirm its ownership; updates based on an earlier version of the head then fail.
    std::uint32_t term_ = 0;
    WallTime acceptedAt_ {};
    Duration runTarget_ {}; // from acceptance until all results are due
    Duration abandonAfter_ {}; // from acceptance until an item may be abandoned
    std::uint32_t maxAttempts_ = 1; // number of runs that may fail with an error of the engine itself
    JobState state_ = JobState::Open;
};

using ItemHeaders = std::vector<std::pair<std::string, std::string>>;

struct JobItem {
    std::string id_;
    std::string path_;
    ItemHeaders headers_;
    std::string body_; // base64, as received
};

enum class ResultState : std::uint8_t {
    Completed,
    Errored,
};

struct JobResult {
    std::string item_;
    ResultState state_ = ResultState::Completed;
    std::string text_; // data of all events, separated by line feeds; empty for Errored

    friend bool operator==(const JobResult&, const JobResult&) = default;
};

inline constexpr std::string_view headKind = "jobs/";
inline constexpr std::string_view cancelMarkKind = "job-ends/";
std::string headKey(std::string_view job);
std::string cancelMarkKey(std::string_view job);
// Returns the job of a mark's key, or an empty name if the key isn't a mark's.
std::string_view jobOfCancelMark(std::string_view key);
std::string itemPageKey(std::string_view job, std::uint32_t page);
std::string resultPageKey(std::string_view job, std::uint32_t page);
// Returns the job of a head's key, or an empty name if the key isn't a head's.
std::string_view jobOfHeadKey(std::string_view key);

std::string encode(const JobHead& head);
std::string encode(const std::vector<JobItem>& page);
std::string encode(const std::vector<JobResult>& page);
// Returns how many of the results, from the first on, fit into one value of the store of at most `valueBytes` bytes. The store counts a value as
// JSON, in which the record is a text of its own.
std::size_t countFitting(const std::vector<JobResult>& results, std::size_t valueBytes);

// Error: BadRecord.
Result<JobHead> decodeHead(std::string_view text);
Result<std::vector<JobItem>> decodeItems(std::string_view text);
Result<std::vector<JobResult>> decodeResults(std::string_view text);

// Splits the items into pages that each fit into one value, as countFitting() does. Errors: NoItems, DuplicateItem, ItemTooLarge.
Checked<std::vector<std::vector<JobItem>>> splitIntoPages(std::vector<JobItem> items, std::size_t valueBytes);

// Decodes standard base64 with padding. Error: BadRecord.
Result<std::string> fromBase64(std::string_view text);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::LedgerError> : std::true_type {
};
