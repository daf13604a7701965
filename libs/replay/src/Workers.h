// The workers of the trace's jobs: each keeps a number of its items with its node until all are done.
#pragma once

#include "Recorder.h"
#include "replay/Trace.h"

#include <deque>
#include <optional>

namespace jj {

// One job at the node that holds it.
class Worker {
public:
    Worker(const Job& job, std::uint32_t index, std::size_t node, ServiceId service)
        : job_(job)
        , index_(index)
        , node_(node)
        , service_(service)
    {
    }

    // Request ids of items have this bit, the job's index and the item's.
    static constexpr std::uint64_t itemBit = 1ULL << 40U;
    static constexpr std::uint32_t itemBits = 22;

    static bool isItem(RequestId request) { return (request.value() & itemBit) != 0; }
    static std::size_t jobIndex(RequestId request) { return (request.value() & ~itemBit) >> itemBits; }

    // The next item to hand to the node, while fewer than the window are there.
    std::optional<RequestSpec> next(TimePoint now);
    // Length of the item's answer as it turns out.
    std::uint32_t answerTokens(RequestId request) const { return draw(request, job_.answerTokens_, 1); }

    void done(TimePoint now)
    {
        ++done_;
        --outstanding_;
        if (done_ == job_.items_)
            finishedAt_ = now;
    }
    // The worker tries it again; items fail for good only by the job's own rules, which aren't part of a replay.
    void refused(RequestId request)
    {
        --outstanding_;
        again_.push_back(request);
    }

    // Called each second; gives the job's pace once it is known.
    std::optional<JobPace> pace(TimePoint now);

    const Job& job() const { return job_; }
    std::size_t node() const { return node_; }
    std::uint32_t itemsDone() const { return done_; }
    bool kept() const { return finishedAt_ <= TimePoint(job_.at_ + job_.deadline_); }

private:
    static constexpr std::uint32_t window = 256;

    std::uint32_t draw(RequestId request, std::uint32_t mean, std::uint64_t salt) const;
    RequestSpec specOf(RequestId request) const;

    const Job& job_;
    std::uint32_t index_;
    std::size_t node_;
    ServiceId service_;
    std::uint32_t nextItem_ = 0;
    std::uint32_t outstanding_ = 0;
    std::uint32_t done_ = 0;
    std::deque<RequestId> again_;
    std::deque<std::uint32_t> doneBySecond_;
    TimePoint finishedAt_ = neverTime;
};

} // namespace jj
