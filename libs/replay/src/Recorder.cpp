// Measures out of the record of a replay.
#include "Recorder.h"

#include <algorithm>

namespace jj {

Measures Recorder::finish()
{
    std::vector<double> firstTokens;
    for (const auto& [request, question] : questions_) {
        ++measures_.questions_;
        measures_.answered_ += question.answers_ > 0 ? 1 : 0;
        measures_.refused_ += question.refusals_ > 0 ? 1 : 0;
        measures_.lost_ += question.answers_ + question.refusals_ == 0 ? 1 : 0;
        measures_.doubled_ += question.answers_ + question.refusals_ > 1 ? 1 : 0;
        if (question.firstToken_ == neverTime)
            continue;
        measures_.kept_ += question.firstToken_ <= question.deadline_ ? 1 : 0;
        const double taken = toMilliseconds(question.firstToken_ - question.at_);
        firstTokens.push_back(taken);
        double& worst = second(question.at_).firstTokenWorst_;
        worst = std::max(worst, taken);
    }
    measures_.firstToken_ = spreadOf(firstTokens);
    measures_.betweenTokens_ = spreadOf(gaps_);
    measures_.batchTokensPerSecond_ = static_cast<double>(batchTokens_) / toSeconds(trace_.site_.length_);
    measures_.wastedShare_ = batchTokens_ == 0 ? 0 : static_cast<double>(wastedTokens_) / static_cast<double>(batchTokens_);
    return measures_;
}

} // namespace jj
