// RelayedRequest: callers that read slowly, and the limits of the bytes that are held for an answer.
#include "RelayedRequest.h"

namespace jj {

namespace {

    // Engines cut off an answer that isn't read for some seconds.
    constexpr Duration maxReadPause = 2s;
    constexpr std::size_t readPieceBytes = 16U * 1024;
    // A caller that has taken no byte for this long doesn't read.
    constexpr Duration maxReaderStall = 1s;

} // namespace

std::error_code RelayedRequest::findOverLimit(EngineRun& run) const
{
    if (run.scanner_.isOverLimit())
        return http::Error::EventTooLarge;
    if (std::max(run.body_.size(), run.deferred_.size()) > context_.answerLimit())
        return http::Error::AnswerTooLarge;
    // When the budget is exhausted, runs that hold more than an equal part of it end first.
    if (!context_.budget_->hasRoom(http::ByteUse::Answers, 0) && run.heldBytes() > context_.budget_->share())
        return http::Error::NoBufferSpace;
    return {};
}

void RelayedRequest::onOverLimit(const EngineRunPtr& run, std::error_code error)
{
    const EngineEntry* engine = context_.board_.find(run->engine_);
    line("answerOverLimit").with("engine", engine ? engine->name_ : "").with("error", error.message()).with("runs", runs_);
    // Which answers end for want of space depends on the other ones too, so it is no evidence about the engine.
    if (isOverLimit(error))
        context_.recordOverLimit(run->engine_, error);
    if (run != silentRun_)
        return lost(error);
    close(silentRun_);
    checkSilenceWhenDue();
}

// ---- callers that read slowly

void RelayedRequest::pauseIfQueueFull(const EngineRunPtr& run)
{
    // A silent run adds to the queue only once the request has returned to it. Paused before, it would never be read again: only run_ is.
    if (run != run_ || !run->call_ || run->isPaused_ || !exchange_->isQueueFull())
        return;
    run->isPaused_ = true;
    run->call_->pauseReading();
    context_.metrics_.metrics_.add(context_.metrics_.enginesPaused_);
    exchange_->whenWritable([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->resumeReading();
    });
    scheduleRead();
}

void RelayedRequest::scheduleRead()
{
    readTimer_.expires_after(maxReadPause);
    readTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self)
            self->readAfterPause();
    });
}

void RelayedRequest::readAfterPause()
{
    if (!run_ || !run_->isPaused_)
        return;
    if (context_.budget_->hasRoom(http::ByteUse::Answers, readPieceBytes))
        return resumeReading();
    scheduleRead();
}

void RelayedRequest::resumeReading()
{
    if (!run_ || !run_->isPaused_)
        return;
    run_->isPaused_ = false;
    run_->hold_.resize(run_->heldBytes() + readPieceBytes); // counted before it is read: many streams may go on at once
    run_->heardAt_ = context_.now(); // the pause wasn't the engine's
    run_->eventClock_.restart();
    readTimer_.cancel();
    if (run_->call_)
        run_->call_->resumeReading();
}

bool RelayedRequest::isReaderMoving() const
{
    const auto stalled = exchange_->stalledFor();
    return stalled && *stalled < maxReaderStall;
}

} // namespace jj
