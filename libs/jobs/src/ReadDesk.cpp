// Two reads for a status, three for a page of results.
#include "jobs/ReadDesk.h"

#include "jobs/ChunkCodec.h"

namespace jj {

namespace {

    constexpr std::uint32_t partBits = 8;
    constexpr std::uint32_t partMask = (1U << partBits) - 1;

} // namespace

ReadDesk::ReadDesk(JobContext& context)
    : context_(context)
{
}

void ReadDesk::ask(const StatusAsked& event)
{
    read({ event.ask_, event.workspace_, event.job_, 0, {} }, [this](const Question& question, const Ledger& ledger) { status(question, ledger); });
}

void ReadDesk::ask(const ResultsAsked& event)
{
    read({ event.ask_, event.workspace_, event.job_, event.cursor_, {} }, [this](const Question& question, const Ledger& ledger) { page(question, ledger); });
}

// The manifest is read after the ledger, so a ledger that isn't of this job, or is missing, is from before it had results.
void ReadDesk::read(Question question, Read then)
{
    const std::string key = ledgerKey(context_.partitionOf(question.job_), question.job_);
    context_.call(ObjectCall::get(key), CallClass::Read, patience(), [this, question = std::move(question), then = std::move(then)](const SettledAnswer& answer) mutable {
        Result<Ledger> ledger = answer.ok() ? Ledger::decode(answer.answer_.value_) : Result<Ledger>(JobError::StoreUnavailable);
        if (answer.is(ObjectError::NotFound))
            ledger = Ledger {};
        if (!ledger)
            return refuse(question.ask_, ledger.error());
        readManifest(std::move(question), std::move(ledger.value()), std::move(then));
    });
}

void ReadDesk::readManifest(Question question, Ledger ledger, Read then)
{
    const std::string key = manifestKey(context_.partitionOf(question.job_), question.job_);
    context_.call(ObjectCall::get(key), CallClass::Read, patience(), [this, question = std::move(question), ledger = std::move(ledger), then = std::move(then)](const SettledAnswer& answer) mutable {
        if (answer.is(ObjectError::NotFound))
            return refuse(question.ask_, JobError::NoSuchJob);
        Result<Manifest> manifest = answer.ok() ? Manifest::decode(answer.answer_.value_) : Result<Manifest>(JobError::StoreUnavailable);
        if (!manifest)
            return refuse(question.ask_, manifest.error());
        if (manifest.value().workspace_ != question.workspace_)
            return refuse(question.ask_, JobError::NoSuchJob);
        question.manifest_ = std::move(manifest.value());
        then(question, ledger.belongsTo(question.manifest_) ? ledger : Ledger {});
    });
}

void ReadDesk::status(const Question& question, const Ledger& ledger)
{
    const Manifest& manifest = question.manifest_;
    context_.emit(StatusAnswered { question.ask_, { question.job_, ledger.state_, manifest.service_, manifest.items_, ledger.done_, ledger.failed_, manifest.acceptedAt_, manifest.deadline_ } });
}

void ReadDesk::page(const Question& question, const Ledger& ledger)
{
    std::uint32_t chunk = question.cursor_ >> partBits;
    // An ended job gets no further results: what isn't committed is skipped.
    while (ledger.isEnded() && chunk < question.manifest_.chunkCount() && ledger.epochOf(chunk).isNone())
        ++chunk;
    if (chunk >= question.manifest_.chunkCount()) {
        context_.emit(ResultsPage { question.ask_, {}, question.cursor_, true });
        return;
    }
    if (ledger.epochOf(chunk).isNone()) {
        context_.emit(ResultsPage { question.ask_, {}, question.cursor_, false });
        return;
    }
    part(question, ledger, chunk);
}

void ReadDesk::part(const Question& question, const Ledger& ledger, std::uint32_t chunk)
{
    const bool skipped = chunk != question.cursor_ >> partBits;
    const std::uint32_t index = skipped ? 0 : question.cursor_ & partMask;
    const bool lastChunk = ledger.isEnded() && [&] {
        for (std::uint32_t later = chunk + 1; later < question.manifest_.chunkCount(); ++later) {
            if (!ledger.epochOf(later).isNone())
                return false;
        }
        return true;
    }();
    context_.call(ObjectCall::get(resultKey(question.job_, chunk, ledger.epochOf(chunk), index)), CallClass::Read, patience(), [this, ask = question.ask_, chunk, index, lastChunk](const SettledAnswer& answer) {
        Result<ResultPart> lines = answer.ok() ? decodeResultPart(answer.answer_.value_) : Result<ResultPart>(answer.is(ObjectError::NotFound) ? JobError::BadRecord : JobError::StoreUnavailable);
        if (!lines)
            return refuse(ask, lines.error());
        const bool last = lines.value().last_;
        const std::uint32_t next = last ? (chunk + 1) << partBits : (chunk << partBits) | (index + 1);
        context_.emit(ResultsPage { ask, std::move(lines.value().lines_), next, last && lastChunk });
    });
}

void ReadDesk::refuse(AskId ask, std::error_code error)
{
    const bool later = error == JobError::StoreUnavailable;
    context_.emit(AskRefused { ask, error, later ? std::max<Duration>(1s, context_.queue_.budget().comeBackAfter(context_.now_)) : Duration::zero() });
}

} // namespace jj
