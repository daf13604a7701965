// Items and pace of a replayed job.
#include "Workers.h"

#include "base/Hash.h"

#include <algorithm>

namespace jj {

std::optional<RequestSpec> Worker::next(TimePoint)
{
    if (outstanding_ >= window)
        return std::nullopt;
    RequestId request;
    if (!again_.empty()) {
        request = again_.front();
        again_.pop_front();
    } else if (nextItem_ < job_.items_) {
        request = RequestId(itemBit | static_cast<std::uint64_t>(index_) << itemBits | nextItem_++);
    } else {
        return std::nullopt;
    }
    ++outstanding_;
    return specOf(request);
}

// Between a half and three halves of the mean, the same each time.
std::uint32_t Worker::draw(RequestId request, std::uint32_t mean, std::uint64_t salt) const
{
    const std::uint64_t hash = mixHash(mixHash(request.value(), job_.job_.value()), salt);
    return std::max<std::uint32_t>(1, mean / 2 + static_cast<std::uint32_t>(hash % std::max<std::uint32_t>(mean, 1)));
}

RequestSpec Worker::specOf(RequestId request) const
{
    RequestSpec spec;
    spec.id_ = request;
    spec.service_ = service_;
    spec.workspace_ = job_.workspace_;
    spec.class_ = RequestClass::Batch;
    spec.job_ = job_.job_;
    spec.prefix_ = job_.prefix_;
    spec.prefixTokens_ = job_.prefixTokens_;
    spec.promptTokens_ = job_.prefixTokens_ + draw(request, job_.promptTokens_ - job_.prefixTokens_, 2);
    spec.maxOutputTokens_ = job_.maxOutputTokens_;
    constexpr std::uint32_t bytesPerToken = 4;
    spec.bytes_ = spec.promptTokens_ * bytesPerToken;
    spec.deadline_ = TimePoint(job_.at_ + job_.deadline_);
    spec.fingerprint_ = Fingerprint(mixHash(request.value(), job_.job_.value()));
    spec.originRegion_ = job_.region_;
    return spec;
}

std::optional<JobPace> Worker::pace(TimePoint)
{
    constexpr std::size_t seconds = 5;
    doneBySecond_.push_back(done_);
    if (doneBySecond_.size() <= seconds)
        return std::nullopt;
    const double rate = static_cast<double>(done_ - doneBySecond_.front()) / seconds;
    doneBySecond_.pop_front();
    return JobPace { job_.job_, service_, TimePoint(job_.at_ + job_.deadline_), job_.items_ - done_, rate };
}

} // namespace jj
