// Disk of named texts in POSIX files; the only one that the daemon uses.
#include "ledger/FileDisk.h"

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>

namespace jj {

namespace {

    namespace fs = std::filesystem;

    // The suffixes make every valid job id a valid file name, even ".".
    constexpr std::string_view suffix = ".job";
    constexpr std::string_view temporarySuffix = ".part";
    constexpr std::size_t readBytes = std::size_t { 16 } * 1024;

    std::error_code lastError() { return { errno, std::system_category() }; }

    // Owns a file descriptor and closes it at the end of its scope.
    class Descriptor {
    public:
        explicit Descriptor(int number)
            : number_(number)
        {
        }
        ~Descriptor()
        {
            if (number_ >= 0)
                ::close(number_);
        }
        Descriptor(const Descriptor&) = delete;
        Descriptor& operator=(const Descriptor&) = delete;

        bool isOpen() const { return number_ >= 0; }
        int number() const { return number_; }

    private:
        int number_;
    };

    bool writeAll(int file, std::string_view text)
    {
        while (!text.empty()) {
            const ssize_t written = ::write(file, text.data(), text.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written <= 0)
                return false;
            text.remove_prefix(static_cast<std::size_t>(written));
        }
        return true;
    }

    // Unlike a range-based for, which throws when the folder can't be read on.
    Result<std::vector<fs::path>> listFolder(const std::string& folder)
    {
        std::vector<fs::path> paths;
        std::error_code error;
        for (fs::directory_iterator entry(folder, error); !error && entry != fs::directory_iterator(); entry.increment(error))
            paths.push_back(entry->path());
        if (error)
            return error;
        return paths;
    }

} // namespace

Result<FileDisk> FileDisk::open(std::string folder)
{
    std::error_code error;
    fs::create_directories(folder, error);
    if (error)
        return error;
    FileDisk disk(std::move(folder));
    BOOST_OUTCOME_TRY(const std::vector<fs::path> paths, listFolder(disk.folder_));
    for (const fs::path& path : paths) {
        // One that can't be removed is overwritten by the next write of that name, or is no file of ours.
        std::error_code ignored;
        if (path.extension() == temporarySuffix)
            fs::remove(path, ignored);
    }
    BOOST_OUTCOME_TRY(disk.syncFolder());
    return disk;
}

Result<std::vector<std::string>> FileDisk::names()
{
    BOOST_OUTCOME_TRY(const std::vector<fs::path> paths, listFolder(folder_));
    std::vector<std::string> names;
    for (const fs::path& path : paths) {
        std::string name = path.filename().string();
        if (!name.ends_with(suffix))
            continue;
        name.resize(name.size() - suffix.size());
        names.push_back(std::move(name));
    }
    return names;
}

Result<std::string> FileDisk::read(const std::string& name)
{
    // Without O_NONBLOCK, opening a pipe would wait for its writer.
    const Descriptor file(::open(pathOf(name).c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
    struct stat status = {};
    if (!file.isOpen() || ::fstat(file.number(), &status) != 0)
        return lastError();
    if (!S_ISREG(status.st_mode))
        return std::make_error_code(std::errc::invalid_argument);
    std::string text;
    std::array<char, readBytes> piece {};
    for (;;) {
        const ssize_t size = ::read(file.number(), piece.data(), piece.size());
        if (size < 0 && errno == EINTR)
            continue;
        if (size < 0)
            return lastError();
        if (size == 0)
            return text;
        text.append(piece.data(), static_cast<std::size_t>(size));
    }
}

Result<void> FileDisk::write(const std::string& name, std::string_view text)
{
    const std::string temporaryPath = pathOf(name) + std::string(temporarySuffix);
    constexpr int mode = 0600;
    {
        const Descriptor file(::open(temporaryPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode));
        if (!file.isOpen() || !writeAll(file.number(), text) || ::fdatasync(file.number()) != 0)
            return lastError();
    }
    if (::rename(temporaryPath.c_str(), pathOf(name).c_str()) != 0)
        return lastError();
    return syncFolder();
}

Result<void> FileDisk::remove(const std::string& name)
{
    std::error_code error;
    fs::remove(pathOf(name), error);
    if (error)
        return error;
    return success();
}

std::string FileDisk::pathOf(const std::string& name) const
{
    return std::string(folder_).append("/").append(name).append(suffix);
}

Result<void> FileDisk::syncFolder()
{
    const Descriptor folder(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.isOpen() || ::fsync(folder.number()) != 0)
        return lastError();
    return success();
}

} // namespace jj
