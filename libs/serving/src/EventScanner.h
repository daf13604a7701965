// Splits a stream of server-sent events into whole events, and reads their ids.
//
// Failure met: an engine stops in the middle of an event. Passed on as they come, its bytes would stand in front of the first event
// of the engine at which the stream goes on. So only whole events leave the scanner.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace jj {

struct StreamEvent {
    std::string_view raw_; // with the empty line that ends it
    std::optional<std::uint64_t> id_;
    std::string_view data_; // of the data field; several are not joined, the last one counts
};

class EventScanner {
public:
    // Calls back for each event that is whole by now; its views live for the call.
    void feed(std::string_view bytes, const std::function<void(const StreamEvent&)>& onEvent);
    // What came after the last whole event.
    const std::string& rest() const { return partial_; }
    void reset() { partial_.clear(); }

private:
    std::string partial_;
};

} // namespace jj
