// One continuous-batching engine under virtual time. No socket, thread or clock: the caller tells the time and collects outputs.
//
//     EngineModel engine(EngineParameters {}, 7);
//     engine.start(StreamSpec { .stream_ = StreamId(1), .promptTokens_ = 200, .answerTokens_ = 32 }, now);
//     while (engine.nextStepAt() <= end)
//         engine.advance(engine.nextStepAt(), sink); // sink(const StreamToken&), sink(const StreamFinished&), sink(const EngineCrashed&)
//
// The engine works in steps. A step takes a + b * streams + c * prompt tokens worked on, times the slow factor; each stream
// whose prompt work is done gives one token at its end. Prompt work (prefill) is cut into chunks: a step works on at most
// `chunkTokens_`, first come first served, so one long prompt lengthens many steps a little.
//
// Whatever comes is admitted. A stream takes the KV blocks of its prompt and whole answer when it starts to run; while they
// can't be had it waits inside the engine, first come first served. The engine knows no priorities.
//
// Advance to `now` before any other call with that `now`. No allocation happens in a step.
#pragma once

#include "base/Id.h"
#include "base/Result.h"
#include "base/Time.h"
#include "enginemodel/EngineError.h"
#include "enginemodel/EngineReports.h"
#include "enginemodel/PrefixCache.h"

#include <boost/unordered/unordered_flat_set.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <variant>
#include <vector>

namespace jj {

// One stream on one engine, named by whoever starts it.
using StreamId = Id<struct StreamTag>;
// KV state that an engine keeps aside after an export; unique over engines with different seeds.
using KvHandle = Id<struct KvHandleTag>;

struct EngineParameters {
    Duration stepBase_ = 12ms; // a
    Duration stepPerStream_ = 250us; // b
    Duration stepPerPromptToken_ = 50us; // c
    int chunkTokens_ = 512; // prompt tokens a step at most
    int blockTokens_ = 16;
    int kvBlocks_ = 4096; // 64 streams of 1,024 tokens
    std::int64_t kvBytesPerToken_ = 131'072;
    Duration loadLag_ = 400ms;
    Duration loadPeriod_ = 50ms;
    Duration cacheEventLag_ = 500ms;
    double cacheEventLoss_ = 0.02; // share of cache events that are never published
};

struct StreamSpec {
    StreamId stream_;
    int promptTokens_ = 1;
    PrefixId prefix_; // none: nothing to share
    int prefixTokens_ = 0; // first part of the prompt that the prefix names
    int answerTokens_ = 1; // length of the whole answer
    int position_ = 0; // first position to give; above 0 it is a resumed stream, whose earlier tokens need prompt work too
    KvHandle handle_; // KV state of a resumed stream; it then needs no prompt work
    bool crashes_ = false; // this prompt crashes every engine that runs it
};

struct EngineFaults {
    int hangAfter_ = -1; // streams stop for good after this many tokens of theirs; -1: never
    double slowFactor_ = 1.0;
    bool refuse_ = false;
};

struct KvExport {
    KvHandle handle_;
    int tokens_ = 0; // prompt and answer tokens held
    int position_ = 0;
    std::int64_t bytes_ = 0;
};

struct StreamToken {
    StreamId stream_;
    int position_ = 0;
    TimePoint at_ {};
};
// Follows the stream's last token; the stream is gone.
struct StreamFinished {
    StreamId stream_;
    TimePoint at_ {};
};
// Every stream, the cache and all KV state kept aside are lost without a word of their own.
struct EngineCrashed {
    StreamId culprit_;
    TimePoint at_ {};
};
using EngineOutput = std::variant<StreamToken, StreamFinished, EngineCrashed>;

class EngineModel {
public:
    EngineModel(const EngineParameters& parameters, std::uint64_t seed);

    // Errors: Refused, Down, TooLarge, DuplicateStream, BadPosition, UnknownHandle. After an error nothing has begun.
    Result<void> start(const StreamSpec& spec, TimePoint now);
    // Frees the stream's memory at once. Returns false when no such stream is open.
    bool cancel(StreamId stream, TimePoint now);

    // Ends the stream and keeps its KV state aside. Errors: UnknownStream, BadPosition (prompt work isn't done).
    Result<KvExport> exportKv(StreamId stream, TimePoint now);
    // Takes over KV state that another engine exported, or gives what is kept here.
    void importKv(const KvExport& state);
    Result<KvExport> keptKv(KvHandle handle) const;

    // End of the step under way; neverTime when there is nothing to do.
    TimePoint nextStepAt() const { return stepEnd_; }

    // Runs all steps that end by `now`, and calls the sink with each output, in order. The sink may start and cancel streams;
    // a stream that it cancels may still have a token in the same step.
    template <class Sink>
    void advance(TimePoint now, Sink&& sink)
    {
        while (stepEnd_ <= now) {
            finishStep();
            std::swap(outputs_, delivered_);
            for (const EngineOutput& output : delivered_)
                std::visit(sink, output);
            delivered_.clear();
        }
    }

    void setFaults(const EngineFaults& faults, TimePoint now);
    const EngineFaults& faults() const { return faults_; }
    // The streams open now run on but are never heard of again; later ones work.
    void silenceOpenStreams();
    // Loses everything, as after a crash, and accepts streams again.
    void restart(TimePoint now);
    bool isDown() const { return down_; }
    void setLeaving(bool leaving) { leaving_ = leaving; }

    LoadReport load(TimePoint now);
    std::uint64_t cacheEvents(std::uint64_t from, TimePoint now, std::vector<CacheEvent>& events) const { return cacheLog_.read(from, now, events); }

    // The load as it stands, for checkers; a node never sees it.
    int running() const { return static_cast<int>(running_.size()); }
    int waiting() const { return static_cast<int>(waiting_.size()); }
    int kvUsed() const { return kvUsed_; }
    bool holdsPrefix(PrefixId prefix) const { return cache_.lookup(prefix) == PrefixCache::Lookup::Ready; }
    std::int64_t promptTokensDone() const { return promptTokensDone_; }

private:
    enum class PrefixUse : std::uint8_t { None,
        Shares,
        Fills };

    struct Stream {
        StreamSpec spec_;
        int position_ = 0; // of the next token
        int promptLeft_ = 0; // prompt work not done yet, in tokens
        int stepPrompt_ = 0; // of that, in the step under way
        int blocks_ = 0; // its own, without those of the shared prefix
        PrefixUse prefixUse_ = PrefixUse::None;
        bool inStep_ = false;
        bool silent_ = false;
    };

    // KV state kept aside beyond this number goes, the lowest handle first.
    static constexpr std::size_t maxKept = 1024;

    int blocksFor(int tokens) const { return (tokens + parameters_.blockTokens_ - 1) / parameters_.blockTokens_; }
    int prefixBlocks(const StreamSpec& spec) const;
    bool isHung(const Stream& stream) const;
    bool reserve(int blocks, TimePoint now);
    bool admit(Stream& stream, TimePoint now);
    void admitWaiting(TimePoint now);
    void release(const Stream& stream);
    void beginStep(TimePoint now);
    void finishStep();
    bool finishStreamStep(Stream& stream, TimePoint at);
    void crash(StreamId culprit, TimePoint at);
    void loseEverything();
    void recordLoad(TimePoint now);

    EngineParameters parameters_;
    EngineFaults faults_;
    // Invariants: running_ is in order of admission; kvUsed_ is the blocks of all running streams and cached prefixes and at most
    // kvBlocks_; open_ holds the ids of running_ and waiting_; stepEnd_ is neverTime exactly when no stream is in a step.
    std::vector<Stream> running_;
    std::deque<Stream> waiting_;
    boost::unordered_flat_set<StreamId, std::hash<StreamId>> open_;
    PrefixCache cache_;
    int kvUsed_ = 0;
    TimePoint stepEnd_ = neverTime;
    Duration stepLength_ {};

    std::map<KvHandle, KvExport> kept_; // at most maxKept
    std::uint64_t nextHandle_;
    LoadHistory history_;
    CacheEventLog cacheLog_;
    // Kept between calls so that steps don't allocate.
    std::vector<EngineOutput> outputs_;
    std::vector<EngineOutput> delivered_;
    std::vector<PrefixId> evicted_;
    std::int64_t promptTokensDone_ = 0;
    bool down_ = false;
    bool leaving_ = false;
};

} // namespace jj
