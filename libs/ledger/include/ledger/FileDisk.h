// Named texts as files of one folder (JobSpool.h).
//
// A file is written beside its place, synced, renamed into it, and its folder is synced: after a power loss a name stands for a whole text
// or for none. Two syncs a write, a millisecond on the disks at hand.
#pragma once

#include "base/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace jj {

class FileDisk {
public:
    // Makes the folder if it isn't there, and removes what unfinished writes left. Error: the system's.
    static Result<FileDisk> open(std::string folder);

    Result<std::vector<std::string>> names();
    Result<std::string> read(const std::string& name);
    Result<void> write(const std::string& name, std::string_view text);
    // One that isn't there is removed.
    Result<void> remove(const std::string& name);

private:
    explicit FileDisk(std::string folder)
        : folder_(std::move(folder))
    {
    }

    std::string pathOf(const std::string& name) const;
    Result<void> syncFolder();

    std::string folder_;
};

} // namespace jj
