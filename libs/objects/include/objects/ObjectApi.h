// The platform's object API as plain data: one call, one answer, one change of a watch, and the errors.
//
// A key is a path of [A-Za-z0-9._-] parts joined by '/'. A value holds at most maxObjectBytes. A version numbers a change of the
// whole store, so versions of one object grow and are never reused.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace jj {

constexpr std::size_t maxObjectBytes = 1'048'576;

enum class ObjectError : int {
    Conflict = 1, // the condition doesn't hold; the answer carries the version that stands, or none when the object is absent
    NotFound, // no such object
    TooLarge, // the value is over the limit; nothing changed
    RateLimited, // over the rate; nothing changed; the answer says when to come back
    Unavailable, // outage; nothing changed
    OutcomeUnknown, // no answer came; the change may have taken effect or may still do so
    BadCall, // the store or the client can't read the call; nothing changed
    Expired, // a watch asks for changes that are no longer kept: list and watch again
};

std::error_code make_error_code(ObjectError error);

enum class ObjectVerb : std::uint8_t {
    Get,
    Create, // only if absent
    Update, // only if the version stands
    Put, // whatever stands
    Remove, // only if the version stands, when one is given
    List,
    Changes, // waits for changes under a prefix after a version
    Report, // replaces what the system says of an object that operators own; the object's own value stays
};

// One call. Build it with the named functions below.
struct ObjectCall {
    ObjectVerb verb_ = ObjectVerb::Get;
    std::string key_; // of a List and of Changes: the prefix
    std::string value_;
    // Update and Remove: none means no condition (Remove only). Changes: the version that the caller has seen.
    ObjectVersion expected_;
    std::uint32_t limit_ = 0; // List: entries in one answer, 0 for the store's own limit
    std::string after_; // List: only keys after this one
    bool withValues_ = false; // List
    bool stale_ = false; // Get and List: an answer that is seconds old will do, which is cheaper where the store prices calls
    Duration wait_ {}; // Changes: the longest that the store holds the call open

    static ObjectCall get(std::string key);
    static ObjectCall create(std::string key, std::string value);
    static ObjectCall update(std::string key, std::string value, ObjectVersion expected);
    static ObjectCall put(std::string key, std::string value);
    static ObjectCall remove(std::string key, ObjectVersion expected = ObjectVersion::none());
    static ObjectCall list(std::string prefix, bool withValues = false, std::string after = {}, std::uint32_t limit = 0);
    static ObjectCall changes(std::string prefix, ObjectVersion seen, Duration wait);
    static ObjectCall report(std::string key, std::string value);

    bool isWrite() const { return verb_ != ObjectVerb::Get && verb_ != ObjectVerb::List && verb_ != ObjectVerb::Changes; }
};

struct ObjectEntry {
    std::string key_;
    ObjectVersion version_;
    std::size_t size_ = 0;
    std::string value_; // empty unless asked for
};

enum class ChangeKind : std::uint8_t {
    Put,
    Remove,
    Bookmark, // nothing changed up to this version
};

struct ObjectChange {
    ChangeKind kind_ = ChangeKind::Bookmark;
    ObjectVersion version_;
    std::string key_;
    std::string value_;
};

// The answer to one call; error_ is empty on success.
struct ObjectAnswer {
    std::error_code error_;
    // Get: of the object. Writes: the new version. List and Changes: of the store. Conflict: the version that stands, none when absent.
    ObjectVersion version_;
    std::string value_; // Get
    std::vector<ObjectEntry> entries_; // List, by key
    std::string next_; // List: pass as `after` to go on; empty at the end
    std::vector<ObjectChange> changes_; // Changes, in order; version_ is where to go on from
    std::uint32_t unreadable_ = 0; // List and Changes: number of entries that are left out because not even their key can be read
    Duration retryAfter_ {}; // RateLimited and Unavailable: zero when the store named no time

    bool ok() const { return !error_; }
    static ObjectAnswer failed(ObjectError error);
};

bool isValidKey(std::string_view key);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::ObjectError> : std::true_type {
};
