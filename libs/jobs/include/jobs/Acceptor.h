// Takes uploads of JSON lines in: streams them into chunk objects, then accepts the job by creating its manifest.
//
// Memory of one upload: the chunk being filled, chunkWritesInFlight_ chunks on their way, and 9 to 18 bytes an item to find a
// custom_id that stands twice. (Ids are compared by a 64-bit hash: two different ones of 1,000,000 meet with a chance of 3e-8, and
// the job is then refused as if they were the same.)
//
// Order of writes: upload record (so that chunks without a manifest can be collected), chunks, open marker (so that the holder
// finds the job), manifest. Only the manifest's creation accepts the job.
#pragma once

#include "jobs/JobContext.h"

#include <deque>
#include <map>
#include <memory>

namespace jj {

class Acceptor {
public:
    explicit Acceptor(JobContext& context);
    ~Acceptor();

    void begin(const UploadBegun& event);
    void bytes(const UploadBytes& event);
    void end(UploadId upload);
    void abort(UploadId upload);
    void tick();

    std::size_t uploads() const { return uploads_.size(); }

private:
    struct Upload;
    using Then = void (Acceptor::*)(Upload&);

    Upload* find(UploadId upload);
    void line(Upload& upload, std::string_view text);
    void problem(Upload& upload, JobError error);
    void closeChunk(Upload& upload);
    void pump(Upload& upload);
    void writeRecord(Upload& upload);
    // Goes on with `otherwise` when no manifest of the job stands.
    void findKnown(Upload& upload, JobId job, Then otherwise);
    void chunkWritten(UploadId id, const SettledAnswer& answer);
    void nameJob(Upload& upload);
    void announceFirst(Upload& upload);
    void announce(Upload& upload, ObjectVersion standing);
    void createManifest(Upload& upload);
    void compareKnown(Upload& upload);
    void accept(Upload& upload, bool known);
    void refuse(UploadId id, JobError error, RunState ran = RunState::NotRun);
    void pauseOrResume(Upload& upload);
    std::optional<JobError> checkHeader(const UploadBegun& event) const;
    TimePoint patience() const { return context_.now_ + context_.settings_.acceptPatience_; }

    JobContext& context_;
    std::map<UploadId, std::unique_ptr<Upload>> uploads_;
};

} // namespace jj
