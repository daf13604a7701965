// Keeps what callers and job workers saw during a replay, and works the measures out of it.
#pragma once

#include "replay/Measures.h"
#include "replay/Trace.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <vector>

namespace jj {

class Recorder {
public:
    explicit Recorder(const Trace& trace)
        : trace_(trace)
    {
        measures_.seconds_.resize(static_cast<std::size_t>(toSeconds(trace.site_.length_)) + 1);
    }

    struct Question {
        TimePoint at_ {};
        TimePoint deadline_ {};
        TimePoint firstToken_ = neverTime;
        TimePoint lastToken_ {};
        std::uint32_t position_ = 0;
        std::uint32_t answers_ = 0;
        std::uint32_t refusals_ = 0;
    };

    void arrived(RequestId request, TimePoint at, Duration deadline)
    {
        questions_[request] = Question { at, at + deadline };
        ++second(at).arrivals_;
    }

    void token(RequestId request, std::uint32_t position, TimePoint at)
    {
        Question& question = questions_[request];
        if (position <= question.position_)
            return;
        if (question.firstToken_ == neverTime)
            question.firstToken_ = at;
        else
            gaps_.push_back(toMilliseconds(at - question.lastToken_) / (position - question.position_));
        question.lastToken_ = at;
        question.position_ = position;
    }

    void answered(RequestId request) { ++questions_[request].answers_; }
    void refused(RequestId request, RunState state)
    {
        ++questions_[request].refusals_;
        measures_.notRun_ += state == RunState::NotRun ? 1 : 0;
    }

    void batchToken(TimePoint at)
    {
        ++batchTokens_;
        ++second(at).batchTokens_;
    }
    void wasted(std::uint64_t tokens) { wastedTokens_ += tokens; }
    void yielded(TimePoint at)
    {
        ++measures_.yields_;
        ++second(at).yields_;
    }
    void queued(TimePoint at, std::size_t count) { second(at).queued_ = static_cast<std::uint32_t>(count); }
    Measures& measures() { return measures_; }

    Measures finish();

private:
    Second& second(TimePoint at)
    {
        const auto index = static_cast<std::size_t>(toSeconds(at.time_since_epoch()));
        return measures_.seconds_[std::min(index, measures_.seconds_.size() - 1)];
    }

    const Trace& trace_;
    Measures measures_;
    boost::unordered_flat_map<RequestId, Question, std::hash<RequestId>> questions_;
    std::vector<double> gaps_;
    std::uint64_t batchTokens_ = 0;
    std::uint64_t wastedTokens_ = 0;
};

} // namespace jj
