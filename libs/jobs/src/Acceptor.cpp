// Streaming accept. Each continuation finds its upload by id, since the caller may have gone away in between.
#include "jobs/Acceptor.h"

#include "base/Hash.h"
#include "jobs/ChunkCodec.h"
#include "jobs/JobCore.h"

#include <boost/unordered/unordered_flat_set.hpp>
#include <xxhash.h>

namespace jj {

namespace {

    // The content's digest over lines as they came, without the pieces' borders.
    class StreamDigest {
    public:
        StreamDigest()
            : state_(XXH3_createState())
        {
            XXH3_128bits_reset(state_.get());
        }
        void add(std::string_view bytes) { XXH3_128bits_update(state_.get(), bytes.data(), bytes.size()); }
        std::string text() const
        {
            const XXH128_hash_t hash = XXH3_128bits_digest(state_.get());
            return hexName(hash.high64) + hexName(hash.low64);
        }

    private:
        struct Free {
            void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
        };
        std::unique_ptr<XXH3_state_t, Free> state_;
    };

    struct PendingChunk {
        std::uint32_t index_ = 0;
        std::string value_;
    };

} // namespace

struct Acceptor::Upload {
    UploadBegun header_;
    std::string name_; // names the chunk objects; starts with the time, so that keys sort by age
    TimePoint until_ {};
    Manifest manifest_;
    StreamDigest digest_;
    boost::unordered_flat_set<std::uint64_t> customIds_;
    std::string partial_; // a line's bytes so far
    bool partialTooLong_ = false;
    std::string chunkText_;
    std::uint32_t chunkItems_ = 0;
    std::uint32_t lineNumber_ = 0;
    std::vector<LineProblem> problems_;
    std::deque<PendingChunk> pending_;
    std::uint32_t writing_ = 0;
    bool mayWrite_ = false; // the upload record stands, and no known manifest was found
    bool recordAsked_ = false;
    ObjectVersion recordVersion_;
    bool recordMayLandLate_ = false;
    std::optional<Manifest> known_; // the key's manifest stood before: nothing is written, the content is compared
    bool paused_ = false;
    bool ended_ = false;
    bool committing_ = false;
    std::uint32_t announcing_ = 0;
};

Acceptor::Acceptor(JobContext& context)
    : context_(context)
{
}

Acceptor::~Acceptor() = default;

Acceptor::Upload* Acceptor::find(UploadId upload)
{
    const auto found = uploads_.find(upload);
    return found == uploads_.end() ? nullptr : found->second.get();
}

std::optional<JobError> Acceptor::checkHeader(const UploadBegun& event) const
{
    if (context_.draining_)
        return JobError::Draining;
    if (context_.queue_.budget().isOut())
        return JobError::StoreUnavailable;
    if (uploads_.size() >= context_.settings_.maxUploads_)
        return JobError::TooBusy;
    if (event.deadline_ <= context_.wall_)
        return JobError::DeadlinePassed;
    if (event.deadline_ - context_.wall_ > context_.settings_.longestDeadline_)
        return JobError::DeadlineOutOfReach;
    return std::nullopt;
}

void Acceptor::begin(const UploadBegun& event)
{
    if (const std::optional<JobError> error = checkHeader(event))
        return refuse(event.upload_, *error);
    auto upload = std::make_unique<Upload>();
    upload->header_ = event;
    upload->name_ = hexName(static_cast<std::uint64_t>(context_.wall_.time_since_epoch().count())) + "-" + context_.mark();
    upload->until_ = context_.now_ + context_.settings_.uploadBound_;
    upload->manifest_.upload_ = upload->name_;
    Upload& entered = *(uploads_[event.upload_] = std::move(upload));
    if (event.key_.empty())
        return;
    entered.recordAsked_ = true;
    findKnown(entered, jobIdOf(event.workspace_, event.service_, event.key_), &Acceptor::writeRecord);
}

// A resend of a whole job costs one read, and with a key no chunk writes.
void Acceptor::findKnown(Upload& upload, JobId job, Then otherwise)
{
    const UploadId id = upload.header_.upload_;
    context_.call(ObjectCall::get(manifestKey(context_.partitionOf(job), job)), CallClass::Accept, patience(), [this, id, otherwise](const SettledAnswer& answer) {
        Upload* found = find(id);
        if (!found)
            return;
        if (answer.is(ObjectError::NotFound))
            return (this->*otherwise)(*found);
        if (!answer.ok())
            return refuse(id, JobError::StoreUnavailable);
        Result<Manifest> manifest = Manifest::decode(answer.answer_.value_);
        if (!manifest)
            return refuse(id, JobError::BadRecord);
        found->known_ = std::move(manifest.value());
        found->pending_.clear();
        found->committing_ = false;
        pump(*found);
    });
}

void Acceptor::writeRecord(Upload& upload)
{
    const UploadId id = upload.header_.upload_;
    upload.recordAsked_ = true;
    UploadRecord record { context_.wall_, JobId::none(), context_.mark() };
    if (!upload.header_.key_.empty())
        record.job_ = jobIdOf(upload.header_.workspace_, upload.header_.service_, upload.header_.key_);
    context_.call(ObjectCall::create(uploadKey(upload.name_), record.encode()), CallClass::Accept, patience(), [this, id](const SettledAnswer& answer) {
        Upload* found = find(id);
        if (!found)
            return;
        if (!answer.ok())
            return refuse(id, JobError::StoreUnavailable);
        found->recordVersion_ = answer.answer_.version_;
        found->recordMayLandLate_ = answer.mayLandLate_;
        found->mayWrite_ = true;
        pump(*found);
    });
}

void Acceptor::bytes(const UploadBytes& event)
{
    Upload* upload = find(event.upload_);
    if (!upload || upload->ended_)
        return;
    std::string_view rest = event.bytes_;
    while (!rest.empty()) {
        const std::size_t lineEnd = rest.find('\n');
        const std::string_view piece = rest.substr(0, lineEnd);
        if (upload->partial_.size() + piece.size() > context_.settings_.maxLineBytes_)
            upload->partialTooLong_ = true;
        else
            upload->partial_ += piece;
        if (lineEnd == std::string_view::npos)
            break;
        line(*upload, upload->partial_);
        upload->partial_.clear();
        rest.remove_prefix(lineEnd + 1);
    }
    pump(*upload);
}

void Acceptor::problem(Upload& upload, JobError error)
{
    if (upload.problems_.size() < context_.settings_.maxProblems_)
        upload.problems_.push_back({ upload.lineNumber_, error });
    // Nothing of the job will be kept, so what waits to be written is dropped.
    upload.pending_.clear();
    upload.chunkText_.clear();
    upload.chunkItems_ = 0;
}

void Acceptor::line(Upload& upload, std::string_view text)
{
    ++upload.lineNumber_;
    if (std::exchange(upload.partialTooLong_, false))
        return problem(upload, JobError::LineTooLong);
    if (!text.empty() && text.back() == '\r')
        text.remove_suffix(1);
    if (text.empty())
        return;
    const Result<JobItem> item = parseItem(text);
    if (!item)
        return problem(upload, JobError::BadLine);
    if (!upload.customIds_.insert(hash64(item.value().customId_)).second)
        return problem(upload, JobError::DuplicateCustomId);
    if (upload.customIds_.size() > context_.settings_.maxItems_)
        return problem(upload, JobError::TooManyItems);
    upload.digest_.add(text);
    upload.digest_.add("\n");
    if (!upload.problems_.empty())
        return;
    if (upload.chunkText_.size() + text.size() + 1 > context_.settings_.chunkBytes_)
        closeChunk(upload);
    upload.chunkText_ += text;
    upload.chunkText_ += '\n';
    if (++upload.chunkItems_ == context_.settings_.chunkItems_)
        closeChunk(upload);
}

void Acceptor::closeChunk(Upload& upload)
{
    if (upload.chunkItems_ == 0)
        return;
    if (!upload.known_)
        upload.pending_.push_back({ upload.manifest_.chunkCount(), compressText(upload.chunkText_) });
    upload.manifest_.addChunk(upload.chunkItems_);
    upload.chunkText_.clear();
    upload.chunkItems_ = 0;
    if (!upload.recordAsked_)
        writeRecord(upload);
}

// Sends what may go out, and goes on to the commit once all is written.
void Acceptor::pump(Upload& upload)
{
    const UploadId id = upload.header_.upload_;
    while (upload.mayWrite_ && !upload.pending_.empty() && upload.writing_ < context_.settings_.chunkWritesInFlight_) {
        PendingChunk chunk = std::move(upload.pending_.front());
        upload.pending_.pop_front();
        ++upload.writing_;
        context_.call(ObjectCall::create(chunkKey(upload.name_, chunk.index_), std::move(chunk.value_)), CallClass::Accept, patience(),
            [this, id](const SettledAnswer& answer) { chunkWritten(id, answer); });
    }
    pauseOrResume(upload);
    if (!upload.ended_ || upload.committing_)
        return;
    if (!upload.problems_.empty())
        return refuse(id, upload.problems_.front().error_);
    if (upload.known_)
        return compareKnown(upload);
    if (upload.mayWrite_ && upload.pending_.empty() && upload.writing_ == 0) {
        upload.committing_ = true;
        nameJob(upload);
    }
}

void Acceptor::chunkWritten(UploadId id, const SettledAnswer& answer)
{
    Upload* upload = find(id);
    if (!upload)
        return;
    --upload->writing_;
    if (!answer.ok())
        return refuse(id, JobError::StoreUnavailable);
    pump(*upload);
}

void Acceptor::pauseOrResume(Upload& upload)
{
    const bool full = upload.pending_.size() + upload.writing_ >= context_.settings_.chunkWritesInFlight_;
    if (full == upload.paused_ || upload.ended_)
        return;
    upload.paused_ = full;
    if (full)
        context_.emit(PauseUpload { upload.header_.upload_ });
    else
        context_.emit(ResumeUpload { upload.header_.upload_ });
}

void Acceptor::end(UploadId id)
{
    Upload* upload = find(id);
    if (!upload || upload->ended_)
        return;
    if (!upload->partial_.empty() || upload->partialTooLong_)
        line(*upload, upload->partial_);
    upload->partial_.clear();
    closeChunk(*upload);
    upload->ended_ = true;
    upload->customIds_ = {};
    if (upload->lineNumber_ == 0 || (upload->manifest_.items_ == 0 && upload->problems_.empty()))
        return refuse(id, JobError::NoItems);
    const double rate = context_.settings_.itemsPerSecond_;
    const double seconds = toSeconds(upload->header_.deadline_ - context_.wall_);
    if (upload->problems_.empty() && seconds <= 0)
        return refuse(id, JobError::DeadlinePassed);
    if (upload->problems_.empty() && rate > 0 && static_cast<double>(upload->manifest_.items_) / rate > seconds)
        return refuse(id, JobError::DeadlineOutOfReach);
    pump(*upload);
}

// The upload's record must name the job before the manifest can stand: the collector spares the chunks by it.
void Acceptor::nameJob(Upload& upload)
{
    const UploadBegun& header = upload.header_;
    const UploadId id = header.upload_;
    Manifest& manifest = upload.manifest_;
    manifest.digest_ = upload.digest_.text();
    manifest.key_ = header.key_.empty() ? manifest.digest_ : header.key_;
    manifest.job_ = jobIdOf(header.workspace_, header.service_, manifest.key_);
    manifest.workspace_ = header.workspace_;
    manifest.service_ = header.service_;
    manifest.deadline_ = header.deadline_;
    manifest.atMostOnce_ = header.atMostOnce_;
    manifest.acceptedAt_ = context_.wall_;
    manifest.mark_ = context_.mark();
    if (!header.key_.empty())
        return announceFirst(upload);
    const UploadRecord record { context_.wall_, manifest.job_, context_.mark() };
    context_.call(ObjectCall::update(uploadKey(upload.name_), record.encode(), upload.recordVersion_), CallClass::Accept, patience(), [this, id](const SettledAnswer& answer) {
        Upload* found = find(id);
        if (!found)
            return;
        if (!answer.ok())
            return refuse(id, JobError::StoreUnavailable);
        findKnown(*found, found->manifest_.job_, &Acceptor::announceFirst);
    });
}

void Acceptor::announceFirst(Upload& upload) { announce(upload, ObjectVersion::none()); }

// The open marker stands before the manifest, so that no accepted job can stay unseen by its partition's holder.
//
// Failure met: the marker that stands is an old stray one, whose removal is on its way; the job is accepted, and no holder ever finds it.
// The guard: a marker that stands is written anew, so that a removal decided on before fails (see JobRunner::forgetStrayMarker).
void Acceptor::announce(Upload& upload, ObjectVersion standing)
{
    const UploadId id = upload.header_.upload_;
    if (context_.now_ >= upload.until_)
        return refuse(id, JobError::StoreUnavailable);
    const JobId job = upload.manifest_.job_;
    std::string key = openKey(context_.partitionOf(job), job);
    std::string value = std::to_string(context_.wall_.time_since_epoch().count());
    ObjectCall call = standing.isNone() ? ObjectCall::create(std::move(key), std::move(value)) : ObjectCall::update(std::move(key), std::move(value), standing);
    context_.call(std::move(call), CallClass::Accept, patience(), [this, id](const SettledAnswer& answer) {
        Upload* found = find(id);
        if (!found)
            return;
        if (answer.ok())
            return createManifest(*found);
        if (answer.is(ObjectError::Conflict) || answer.is(ObjectError::NotFound))
            return announce(*found, answer.answer_.version_);
        refuse(id, JobError::StoreUnavailable);
    });
}

void Acceptor::createManifest(Upload& upload)
{
    const UploadId id = upload.header_.upload_;
    // Chunks of an upload older than the collector's age may be gone; the bound is far below it.
    if (context_.now_ >= upload.until_)
        return refuse(id, JobError::StoreUnavailable);
    const Manifest& manifest = upload.manifest_;
    context_.call(ObjectCall::create(manifestKey(context_.partitionOf(manifest.job_), manifest.job_), manifest.encode()), CallClass::Accept, patience(),
        [this, id](const SettledAnswer& answer) {
            Upload* found = find(id);
            if (!found)
                return;
            if (answer.ok())
                return accept(*found, false);
            if (answer.is(ObjectError::Conflict))
                return compareKnown(*found);
            refuse(id, JobError::StoreUnavailable, answer.is(ObjectError::OutcomeUnknown) ? RunState::OutcomeUnknown : RunState::NotRun);
        });
}

// Another upload with this key or content came first: the same content is the same job.
void Acceptor::compareKnown(Upload& upload)
{
    const UploadId id = upload.header_.upload_;
    upload.committing_ = true;
    const std::string digest = upload.digest_.text();
    if (upload.known_) {
        if (upload.known_->digest_ != digest)
            return refuse(id, JobError::KeyReused);
        upload.manifest_ = *upload.known_;
        return accept(upload, true);
    }
    const JobId job = upload.manifest_.job_;
    context_.call(ObjectCall::get(manifestKey(context_.partitionOf(job), job)), CallClass::Accept, patience(), [this, id](const SettledAnswer& answer) {
        Upload* found = find(id);
        if (!found)
            return;
        Result<Manifest> manifest = answer.ok() ? Manifest::decode(answer.answer_.value_) : Result<Manifest>(JobError::StoreUnavailable);
        if (!manifest)
            return refuse(id, JobError::StoreUnavailable, RunState::OutcomeUnknown);
        found->known_ = std::move(manifest.value());
        compareKnown(*found);
    });
}

void Acceptor::accept(Upload& upload, bool known)
{
    const JobId job = upload.manifest_.job_;
    context_.emit(Acknowledge { upload.header_.upload_, job, upload.manifest_.items_, known });
    context_.emit(TellAccepted { context_.partitionOf(job), job });
    // A record that lands late and names no job would let the collector remove the chunks: the one that names the job stays in its way, and
    // the collector removes it.
    const bool mustStay = upload.header_.key_.empty() && upload.recordMayLandLate_;
    if (!known && !mustStay)
        context_.call(ObjectCall::remove(uploadKey(upload.name_)), CallClass::Background, context_.now_ + context_.settings_.uploadBound_, [](const SettledAnswer&) {});
    uploads_.erase(upload.header_.upload_);
}

void Acceptor::refuse(UploadId id, JobError error, RunState ran)
{
    RefuseUpload refusal { id, error, {}, {}, ran };
    if (Upload* upload = find(id))
        refusal.lines_ = std::move(upload->problems_);
    if (error == JobError::StoreUnavailable || error == JobError::TooBusy || error == JobError::Draining)
        refusal.retryAfter_ = std::max<Duration>(1s, context_.queue_.budget().comeBackAfter(context_.now_));
    context_.emit(std::move(refusal));
    uploads_.erase(id);
}

void Acceptor::abort(UploadId upload) { uploads_.erase(upload); }

void Acceptor::tick()
{
    std::vector<UploadId> late;
    for (const auto& [id, upload] : uploads_) {
        if (context_.now_ >= upload->until_ && !upload->committing_)
            late.push_back(id);
    }
    for (const UploadId id : late)
        refuse(id, JobError::StoreUnavailable);
}

} // namespace jj
