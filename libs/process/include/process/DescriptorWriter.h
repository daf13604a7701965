// Writes text to a descriptor without waiting for whoever is behind it.
//
//     DescriptorWriter writer(STDOUT_FILENO, capacity);
//     writer.write(buffer);                            // from time to time
//     writer.finish(buffer, 200ms);                    // before the end of the process
//
// Pipes, sockets and terminals are made non-blocking. A regular file can't be: a write waits for its disk, which may take seconds. Its text
// is written by a thread, which takes texts up to its capacity. The process must ignore SIGPIPE.
#pragma once

#include "base/Time.h"

#include <memory>
#include <string>
#include <system_error>

namespace jj {

class DescriptorWriter {
public:
    // The descriptor stays open and must remain so for as long as the process runs. `capacity`: bytes that wait for a file, and the
    // most that one write takes.
    DescriptorWriter(int descriptor, std::size_t capacity);
    // Doesn't wait for a write under way, which ends by itself.
    ~DescriptorWriter();
    DescriptorWriter(const DescriptorWriter&) = delete;
    DescriptorWriter& operator=(const DescriptorWriter&) = delete;

    // Takes text from the front of the buffer, as much as is possible without waiting; for a file all or nothing. Errors: the system's, of this write or, for a file,
    // of the one before; a descriptor that is full or busy is none. Text whose write failed is tried again by the next call.
    std::error_code write(std::string& buffer);

    // Writes the buffer, and waits until all text has been written, an error or the limit.
    void finish(std::string& buffer, Duration limit);

private:
    struct FileThread;

    std::error_code writeByThread(std::string& buffer);

    int descriptor_;
    std::size_t capacity_;
    bool isFile_;
    std::shared_ptr<FileThread> thread_; // null before the first write to a file
};

} // namespace jj
