// Keeps the store's changes in a file, so that a stand-in that is killed and started again holds what it had acknowledged.
//
// Each change is one line: P, the key and the value in base64, or D and the key. Replaying the lines in order gives the same
// versions, because each change takes the next one. A torn last line was never acknowledged and is dropped.
#pragma once

#include "base/Result.h"
#include "objects/MemoryStore.h"

#include <fstream>
#include <string>
#include <string_view>

namespace jj {

std::string toBase64(std::string_view bytes);

class Journal {
public:
    // Applies what the file holds to `store`, which has to be empty and without rates; then appends to it. An empty path keeps
    // nothing. Errors: std::errc::io_error.
    static Result<Journal> open(const std::string& path, MemoryStore& store);

    // Call after a write that succeeded, before its answer leaves.
    void append(const ObjectCall& call);

private:
    std::ofstream file_;
};

} // namespace jj
