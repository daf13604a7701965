// Steps, admission and memory of the modelled engine.
#include "enginemodel/EngineModel.h"

#include <algorithm>

namespace jj {

EngineModel::EngineModel(const EngineParameters& parameters, std::uint64_t seed)
    : parameters_(parameters)
    , nextHandle_((seed << 32) + 1)
    , history_(parameters.loadLag_, parameters.loadPeriod_)
    , cacheLog_(parameters.cacheEventLag_, parameters.cacheEventLoss_, seed)
{
}

Result<void> EngineModel::start(const StreamSpec& spec, TimePoint now)
{
    if (down_)
        return EngineError::Down;
    if (faults_.refuse_)
        return EngineError::Refused;
    if (spec.position_ < 0 || spec.position_ >= spec.answerTokens_)
        return EngineError::BadPosition;
    if (blocksFor(spec.promptTokens_ + spec.answerTokens_) > parameters_.kvBlocks_)
        return EngineError::TooLarge;
    if (!spec.handle_.isNone()) {
        const auto kept = kept_.find(spec.handle_);
        if (kept == kept_.end() || kept->second.position_ != spec.position_)
            return EngineError::UnknownHandle;
    }
    if (!open_.insert(spec.stream_).second)
        return EngineError::DuplicateStream;
    Stream stream;
    stream.spec_ = spec;
    stream.position_ = spec.position_;
    waiting_.push_back(stream);
    if (stepEnd_ == neverTime)
        beginStep(now);
    recordLoad(now);
    return success();
}

bool EngineModel::cancel(StreamId stream, TimePoint now)
{
    if (open_.erase(stream) == 0)
        return false;
    const auto isIt = [stream](const Stream& each) { return each.spec_.stream_ == stream; };
    if (const auto found = std::find_if(running_.begin(), running_.end(), isIt); found != running_.end()) {
        release(*found);
        running_.erase(found);
    } else {
        waiting_.erase(std::find_if(waiting_.begin(), waiting_.end(), isIt));
    }
    // With every other stream hung no step is under way, so nothing else would take in those that wait.
    if (stepEnd_ == neverTime)
        beginStep(now);
    recordLoad(now);
    return true;
}

Result<KvExport> EngineModel::exportKv(StreamId stream, TimePoint now)
{
    const auto found = std::find_if(running_.begin(), running_.end(), [stream](const Stream& each) { return each.spec_.stream_ == stream; });
    if (found == running_.end())
        return open_.contains(stream) ? EngineError::BadPosition : EngineError::UnknownStream;
    if (found->promptLeft_ > 0)
        return EngineError::BadPosition;
    KvExport state;
    state.handle_ = KvHandle(nextHandle_++);
    state.tokens_ = found->spec_.promptTokens_ + found->position_;
    state.position_ = found->position_;
    state.bytes_ = state.tokens_ * parameters_.kvBytesPerToken_;
    importKv(state);
    cancel(stream, now);
    return state;
}

void EngineModel::importKv(const KvExport& state)
{
    kept_.insert_or_assign(state.handle_, state);
    if (kept_.size() > maxKept)
        kept_.erase(kept_.begin());
}

Result<KvExport> EngineModel::keptKv(KvHandle handle) const
{
    const auto kept = kept_.find(handle);
    if (kept == kept_.end())
        return EngineError::UnknownHandle;
    return kept->second;
}

void EngineModel::setFaults(const EngineFaults& faults, TimePoint now)
{
    faults_ = faults;
    if (stepEnd_ == neverTime && !down_)
        beginStep(now);
}

void EngineModel::silenceOpenStreams()
{
    for (Stream& stream : running_)
        stream.silent_ = true;
    for (Stream& stream : waiting_)
        stream.silent_ = true;
}

void EngineModel::restart(TimePoint now)
{
    loseEverything();
    down_ = false;
    recordLoad(now);
}

LoadReport EngineModel::load(TimePoint now)
{
    recordLoad(now);
    return history_.reportAt(now);
}

void EngineModel::recordLoad(TimePoint now)
{
    if (!history_.wants(now))
        return;
    const Duration step = stepEnd_ == neverTime ? Duration::zero() : stepLength_;
    history_.record(LoadReport { now, running(), waiting(), kvUsed_, parameters_.kvBlocks_, step, leaving_ });
}

// Only whole blocks of a prefix can be shared.
int EngineModel::prefixBlocks(const StreamSpec& spec) const
{
    if (spec.prefix_.isNone() || !spec.handle_.isNone())
        return 0;
    return std::min(spec.prefixTokens_, spec.promptTokens_) / parameters_.blockTokens_;
}

bool EngineModel::isHung(const Stream& stream) const
{
    return faults_.hangAfter_ >= 0 && stream.position_ - stream.spec_.position_ >= faults_.hangAfter_;
}

bool EngineModel::reserve(int blocks, TimePoint now)
{
    const int missing = kvUsed_ + blocks - parameters_.kvBlocks_;
    if (missing > cache_.evictableBlocks())
        return false;
    if (missing > 0) {
        evicted_.clear();
        kvUsed_ -= cache_.evict(missing, evicted_);
        for (const PrefixId prefix : evicted_)
            cacheLog_.add(prefix, CacheEventKind::Evicted, now);
    }
    kvUsed_ += blocks;
    return true;
}

bool EngineModel::admit(Stream& stream, TimePoint now)
{
    const StreamSpec& spec = stream.spec_;
    const int total = blocksFor(spec.promptTokens_ + spec.answerTokens_);
    const int shareable = prefixBlocks(spec);
    const auto cached = shareable > 0 ? cache_.lookup(spec.prefix_) : PrefixCache::Lookup::Filling;
    int shared = 0;
    if (cached == PrefixCache::Lookup::Ready) {
        // Pinned first, so that making room doesn't evict the very prefix.
        shared = std::min(cache_.pin(spec.prefix_), shareable);
        if (!reserve(total - shared, now)) {
            cache_.unpin(spec.prefix_);
            return false;
        }
        stream.prefixUse_ = PrefixUse::Shares;
        stream.blocks_ = total - shared;
    } else {
        if (!reserve(total, now))
            return false;
        stream.blocks_ = total;
        if (cached == PrefixCache::Lookup::Absent) {
            cache_.add(spec.prefix_, shareable);
            stream.prefixUse_ = PrefixUse::Fills;
            stream.blocks_ -= shareable;
        }
    }
    const bool hasState = !spec.handle_.isNone() && kept_.erase(spec.handle_) > 0;
    stream.promptLeft_ = hasState ? 0 : spec.promptTokens_ + spec.position_ - shared * parameters_.blockTokens_;
    return true;
}

void EngineModel::admitWaiting(TimePoint now)
{
    while (!waiting_.empty() && admit(waiting_.front(), now)) {
        running_.push_back(waiting_.front());
        waiting_.pop_front();
    }
}

void EngineModel::release(const Stream& stream)
{
    kvUsed_ -= stream.blocks_;
    if (stream.prefixUse_ == PrefixUse::Shares)
        cache_.unpin(stream.spec_.prefix_);
    else if (stream.prefixUse_ == PrefixUse::Fills)
        kvUsed_ -= cache_.dropUnfilled(stream.spec_.prefix_);
}

void EngineModel::beginStep(TimePoint now)
{
    admitWaiting(now);
    int streams = 0;
    int budget = parameters_.chunkTokens_;
    for (Stream& stream : running_) {
        stream.stepPrompt_ = std::min(budget, stream.promptLeft_);
        stream.inStep_ = !isHung(stream) && (stream.promptLeft_ == 0 || stream.stepPrompt_ > 0);
        if (!stream.inStep_)
            continue;
        budget -= stream.stepPrompt_;
        ++streams;
    }
    if (streams == 0) {
        stepEnd_ = neverTime;
        return;
    }
    const int promptTokens = parameters_.chunkTokens_ - budget;
    promptTokensDone_ += promptTokens;
    const Duration length = parameters_.stepBase_ + streams * parameters_.stepPerStream_ + promptTokens * parameters_.stepPerPromptToken_;
    stepLength_ = Duration(static_cast<std::int64_t>(static_cast<double>(length.count()) * faults_.slowFactor_));
    stepEnd_ = now + stepLength_;
}

void EngineModel::finishStep()
{
    const TimePoint at = stepEnd_;
    const auto culprit = std::find_if(running_.begin(), running_.end(), [](const Stream& stream) { return stream.inStep_ && stream.spec_.crashes_; });
    if (culprit != running_.end()) {
        crash(culprit->spec_.stream_, at);
        return;
    }
    // Streams that go on move down over those that ended; their order stays.
    auto kept = running_.begin();
    for (Stream& stream : running_) {
        if (stream.inStep_ && finishStreamStep(stream, at))
            continue;
        if (&*kept != &stream)
            *kept = stream;
        ++kept;
    }
    running_.erase(kept, running_.end());
    beginStep(at);
    recordLoad(at);
}

// Returns whether the stream has ended.
bool EngineModel::finishStreamStep(Stream& stream, TimePoint at)
{
    const StreamId id = stream.spec_.stream_;
    stream.promptLeft_ -= stream.stepPrompt_;
    stream.stepPrompt_ = 0;
    if (stream.promptLeft_ > 0)
        return false;
    if (stream.prefixUse_ == PrefixUse::Fills) {
        cache_.markReady(stream.spec_.prefix_);
        cacheLog_.add(stream.spec_.prefix_, CacheEventKind::Stored, at);
        stream.prefixUse_ = PrefixUse::Shares;
    }
    if (!stream.silent_)
        outputs_.emplace_back(StreamToken { id, stream.position_, at });
    if (++stream.position_ < stream.spec_.answerTokens_)
        return false;
    if (!stream.silent_)
        outputs_.emplace_back(StreamFinished { id, at });
    release(stream);
    open_.erase(id);
    return true;
}

void EngineModel::crash(StreamId culprit, TimePoint at)
{
    loseEverything();
    down_ = true;
    outputs_.emplace_back(EngineCrashed { culprit, at });
}

void EngineModel::loseEverything()
{
    running_.clear();
    waiting_.clear();
    open_.clear();
    cache_.clear();
    kept_.clear();
    kvUsed_ = 0;
    stepEnd_ = neverTime;
}

} // namespace jj
