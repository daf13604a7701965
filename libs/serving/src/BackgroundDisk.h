// The job spool's disk: files that a thread of their own reads and writes, so that a disk that stalls doesn't hold up the loop.
#pragma once

#include "ledger/FileDisk.h"
#include "ledger/JobSpool.h"
#include "process/BlockingCalls.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace jj {

class BackgroundDisk {
public:
    // Opens the folder with the first call. A folder that can't be opened fails that call and is tried again by the next one.
    BackgroundDisk(BlockingCalls& calls, std::string folder)
        : calls_(calls)
        , files_(std::make_shared<Files>(std::move(folder)))
    {
    }

    void names(DiskCompletion<std::vector<std::string>> done)
    {
        run([](FileDisk& disk) { return disk.names(); }, std::move(done));
    }
    void read(const std::string& name, DiskCompletion<std::string> done)
    {
        run([name](FileDisk& disk) { return disk.read(name); }, std::move(done));
    }
    void write(const std::string& name, std::string text, DiskCompletion<void> done)
    {
        run([name, text = std::move(text)](FileDisk& disk) { return disk.write(name, text); }, std::move(done));
    }
    void remove(const std::string& name, DiskCompletion<void> done)
    {
        run([name](FileDisk& disk) { return disk.remove(name); }, std::move(done));
    }

private:
    // Used by the thread alone.
    struct Files {
        explicit Files(std::string folder)
            : folder_(std::move(folder))
        {
        }

        std::string folder_;
        std::optional<FileDisk> disk_;
    };

    template <class Call, class Done>
    void run(Call call, Done done)
    {
        const auto onThread = [files = files_, call = std::move(call)]() -> std::invoke_result_t<const Call&, FileDisk&> {
            if (!files->disk_) {
                auto opened = FileDisk::open(files->folder_);
                if (!opened)
                    return opened.error();
                files->disk_ = std::move(opened.value());
            }
            return call(*files->disk_);
        };
        calls_.run(onThread, std::move(done));
    }

    BlockingCalls& calls_;
    std::shared_ptr<Files> files_;
};

} // namespace jj
