// Status and result pages, read from the store on any node.
//
// A page is one result object. Its cursor counts parts of chunks in the items' order (chunk in the upper 24 bits, part in the lower 8),
// so it means the same on every node and after any change of holder.
#pragma once

#include "jobs/JobContext.h"

#include <map>

namespace jj {

class ReadDesk {
public:
    explicit ReadDesk(JobContext& context);

    void ask(const StatusAsked& event);
    void ask(const ResultsAsked& event);

private:
    struct Question {
        AskId ask_;
        std::string workspace_;
        JobId job_;
        std::uint32_t cursor_ = 0;
        Manifest manifest_;
    };
    using Read = std::function<void(const Question&, const Ledger&)>;

    void read(Question question, Read then);
    void readManifest(Question question, Ledger ledger, Read then);
    void status(const Question& question, const Ledger& ledger);
    void page(const Question& question, const Ledger& ledger);
    void part(const Question& question, const Ledger& ledger, std::uint32_t chunk);
    void refuse(AskId ask, std::error_code error);
    TimePoint patience() const { return context_.now_ + context_.settings_.askPatience_; }

    JobContext& context_;
};

} // namespace jj
