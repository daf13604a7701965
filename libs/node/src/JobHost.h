// Hosts the job core in its actor: uploads, questions about jobs and at-most-once calls in; store calls and item runs out.
//
// Items run as requests of this node through the request plane, like a caller's, in the batch class.
#pragma once

#include "RequestPlane.h"
#include "Runtime.h"
#include "jobs/JobCore.h"
#include "objectclient/ObjectClient.h"
#include "telemetry/Log.h"
#include "wire/LinkMessages.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace jj {

// An upload's answers, on the actor. Exactly one of accepted_ and refused_ is called.
struct UploadSink {
    std::function<void(const Acknowledge&)> accepted_;
    std::function<void(const RefuseUpload&)> refused_;
    std::function<void(bool paused)> pause_;
};

// A question's answer, on the actor: StatusAnswered, ResultsPage, CancelAcknowledged, AskRefused, BeginCall, CallKnown or CallRefused.
using AskSink = std::function<void(const JobCommand&)>;

struct JobOutlets {
    std::function<void(NodeId, const LinkMessage&)> send_;
    std::function<std::vector<NodeId>(PartitionId)> holdersOf_;
    std::function<RequestId()> nextRequest_;
};

class JobHost {
public:
    static Result<std::unique_ptr<JobHost>> create(Runtime& runtime, const JobCoreOptions& options, RegionId region, ObjectClient& store, RequestPlane& plane, EventWriter* events, JobOutlets outlets);

    UploadId beginUpload(UploadBegun header, UploadSink sink);
    void uploadBytes(UploadId upload, std::string bytes);
    void endUpload(UploadId upload);
    void abortUpload(UploadId upload);

    // Fills in the question's id and hands it to the core. `Ask` is CancelAsked, StatusAsked, ResultsAsked or CallAsked.
    template <class Ask>
    AskId ask(Ask question, AskSink sink)
    {
        const AskId id = nextAsk();
        question.ask_ = id;
        actor_.post([this, id, question = std::move(question), sink = std::move(sink)](TimePoint now) mutable {
            asks_[id] = std::move(sink);
            take(std::move(question), now);
        });
        return id;
    }
    void callFinished(CallFinished finished);

    void assign(std::vector<PartitionId> owned, std::vector<PartitionId> standby);
    void onNotice(NodeId from, const JobNotice& notice);
    void drain();
    // Takes back the items that still run here and may run again: their job's next holder runs them.
    void abandonItems();

    JobCoreCounts counts() const;
    bool isDrained() const;

private:
    JobHost(std::unique_ptr<JobCore> core, NodeId self, RegionId region, ObjectClient& store, RequestPlane& plane, EventWriter* events, JobOutlets outlets);

    AskId nextAsk();
    void take(JobEvent event, TimePoint now);
    void performAll(TimePoint now);
    void answerAsk(AskId ask, const JobCommand& command);

    void perform(const StoreCall& command);
    void perform(const RunItem& command, TimePoint now);
    void perform(const CancelItem& command);
    void perform(const Acknowledge& command);
    void perform(const RefuseUpload& command);
    void perform(const PauseUpload& command);
    void perform(const ResumeUpload& command);
    void perform(const TellAccepted& command);
    void perform(const TellCancel& command);
    void perform(const TellStopped& command);
    void finishItem(const RunItem& item, ItemFinished finished);
    void record(EventKind kind, JobId job, ItemIndex item = {}, EventDetail detail = {});

    NodeId self_;
    RegionId region_;
    ObjectClient& store_;
    RequestPlane& plane_;
    EventWriter* events_;
    JobOutlets outlets_;
    Log log_ { "jobs" };

    // Owned by the actor's turns.
    std::unique_ptr<JobCore> core_;
    std::map<UploadId, UploadSink> uploads_;
    std::map<AskId, AskSink> asks_;
    std::map<RunId, RequestId> items_;

    std::atomic<std::uint64_t> nextUpload_ = 1;
    std::atomic<std::uint64_t> nextAsk_ = 1;
    mutable std::mutex countsLock_;
    JobCoreCounts counts_; // guarded by countsLock_, as is drained_
    bool drained_ = false;
    CoreActor actor_;
};

} // namespace jj
