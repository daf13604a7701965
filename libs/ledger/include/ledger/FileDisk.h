// Stores named texts as files in one folder (see SpoolDisk in JobSpool.h).
//
// A write goes to a temporary file in the same folder, which is synced and then renamed to its final name; then the folder is synced. After
// a power loss a name therefore refers to a complete text or does not exist. A write costs two syncs, about one millisecond on the disks in
// use. All calls block, for seconds if the disk stalls.
#pragma once

#include "base/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace jj {

class FileDisk {
public:
    // Opens the folder, creates it if it doesn't exist, and removes the temporary files of interrupted writes. Returns the system's error
    // on failure.
    static Result<FileDisk> open(std::string folder);

    Result<std::vector<std::string>> names();
    Result<std::string> read(const std::string& name);
    Result<void> write(const std::string& name, std::string_view text);
    // Removes the text. Succeeds if there is none of this name.
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
