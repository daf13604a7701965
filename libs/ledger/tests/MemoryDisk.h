// A disk in memory for the tests of the spool.
#pragma once

#include "ledger/JobSpool.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace jj {

// A disk that survives the end of the simulated process, and is empty after a disk loss.
struct MemoryDisk {
    using Texts = std::map<std::string, std::string>;
    std::shared_ptr<Texts> texts_ = std::make_shared<Texts>();
    std::shared_ptr<int> failingReads_ = std::make_shared<int>(0); // how many of the next reads fail
    std::shared_ptr<Texts> removed_ = std::make_shared<Texts>(); // a removal isn't synced, so a power loss may undo it

    void names(const DiskCompletion<std::vector<std::string>>& done) const
    {
        std::vector<std::string> names;
        for (const auto& [name, text] : *texts_)
            names.push_back(name);
        done(names);
    }
    void read(const std::string& name, const DiskCompletion<std::string>& done) const
    {
        if (*failingReads_ > 0) {
            --*failingReads_;
            return done(std::make_error_code(std::errc::too_many_files_open));
        }
        const auto found = texts_->find(name);
        if (found == texts_->end())
            return done(std::make_error_code(std::errc::no_such_file_or_directory));
        done(found->second);
    }
    void write(const std::string& name, const std::string& text, const DiskCompletion<void>& done) const
    {
        (*texts_)[name] = text;
        removed_->erase(name);
        done(success());
    }
    void remove(const std::string& name, const DiskCompletion<void>& done) const
    {
        if (auto text = texts_->extract(name))
            removed_->insert_or_assign(name, std::move(text.mapped()));
        done(success());
    }
    // Undoes each removal with a chance of one half. Written texts are synced and remain.
    template <class Random>
    void losePower(Random& random) const
    {
        for (auto& [name, text] : std::exchange(*removed_, {})) {
            if (random() % 2 == 0)
                texts_->try_emplace(name, text);
        }
    }
};

} // namespace jj
