// Serializes the fields of each message in the order of their declaration.
#include "ReportMessages.h"

#include "PeerMessages.h"
#include "wire/Fields.h"
#include "wire/MemoryStreams.h"

#include <algorithm>
#include <istream>
#include <ostream>

namespace jj {

namespace {

    // Maximum lengths of the lists in a datagram. Longer lists are truncated before sending, when a node or cell uses more engines, or has
    // more services with queued work, than a datagram can hold.
    constexpr std::size_t maxUses = 700;
    constexpr std::size_t maxBackedOff = 256;
    constexpr std::size_t maxServices = 64;
    constexpr std::size_t maxNodes = 64;
    constexpr std::size_t maxCells = 64;
    constexpr std::size_t maxQuotaEntries = 1000;
    constexpr std::size_t maxStreamRecords = 50;
    constexpr std::size_t maxWaitingClasses = 8;
    constexpr std::size_t maxSpeeds = 64;
    constexpr std::size_t maxShareEntries = 64;
    constexpr std::size_t maxRanks = 16;
    // Upper bounds for the sizes on the wire, which follow from the fields serialized below. They serve to pack digests into frames.
    // serviceBytes covers both WaitingRequests and WaitingItems.
    constexpr std::size_t summaryBytes = 64;
    constexpr std::size_t useBytes = 14;
    constexpr std::size_t idBytes = 8;
    constexpr std::size_t serviceBytes = 22;
    constexpr std::size_t waitingClassBytes = 10;
    constexpr std::size_t nodeBytes = 17;

    constexpr std::string_view datagramLabel = "serving datagram 9";

    template <class T>
    void truncate(std::vector<T>& list, std::size_t maxSize) { list.resize(std::min(list.size(), maxSize)); }

    void truncateToLimits(std::vector<WaitingRequests>& waiting)
    {
        truncate(waiting, maxServices);
        for (WaitingRequests& one : waiting)
            truncate(one.classes_, maxWaitingClasses);
    }

    void truncateToLimits(NodeUse& use)
    {
        truncate(use.uses_, maxUses);
        truncate(use.failingEngines_, maxBackedOff);
        truncateToLimits(use.waiting_);
        truncate(use.items_, maxServices);
        truncate(use.speeds_, maxSpeeds);
    }

    void truncateToLimits(NodeReport& report) { truncateToLimits(report.use_); }
    void truncateToLimits(PreemptRequest&) { }
    void truncateToLimits(QuotaReport& report) { truncate(report.counts_, maxQuotaEntries); }
    void truncateToLimits(AdmissionRequest&) { }
    void truncateToLimits(AdmissionDecision&) { }
    void truncateToLimits(QuotaNotice& notice)
    {
        truncate(notice.scarce_, maxQuotaEntries);
        truncate(notice.ample_, maxQuotaEntries);
    }
    void truncateToLimits(StreamRecords& records) { truncate(records.records_, maxStreamRecords); }
    void truncateToLimits(StreamQuery&) { }
    void truncateToLimits(StreamAnswer&) { }
    void truncateToLimits(SuspectRecords& records)
    {
        truncate(records.records_, maxRecordsPerMessage);
        for (SuspectRecord& record : records.records_)
            truncate(record.crashes_, maxCrashesPerSuspect);
    }
    void truncateToLimits(CellDigest& digest)
    {
        truncate(digest.cells_, maxCells);
        for (CellSummary& cell : digest.cells_) {
            truncate(cell.use_.uses_, maxUses);
            truncate(cell.use_.failingEngines_, maxBackedOff);
            truncateToLimits(cell.use_.waiting_);
            truncate(cell.use_.items_, maxServices);
            truncate(cell.nodes_, maxNodes);
        }
    }
    void truncateToLimits(ShareReport& report)
    {
        truncate(report.workspaces_, maxShareEntries);
        truncate(report.ranks_, maxRanks);
    }
    void truncateToLimits(ShareSum& sum)
    {
        truncate(sum.workspaces_, maxShareEntries);
        truncate(sum.ranks_, maxRanks);
    }

    std::size_t bytesOf(const CellSummary& cell)
    {
        std::size_t classes = 0;
        for (const WaitingRequests& waiting : cell.use_.waiting_)
            classes += waiting.classes_.size();
        return summaryBytes + classes * waitingClassBytes + cell.use_.uses_.size() * useBytes + cell.use_.failingEngines_.size() * idBytes + (cell.use_.waiting_.size() + cell.use_.items_.size()) * serviceBytes + cell.nodes_.size() * nodeBytes;
    }

} // namespace

// ---- cereal finds these functions by argument-dependent lookup; it prescribes their names.
// NOLINTBEGIN(readability-identifier-naming)

template <class Archive>
void serialize(Archive& archive, EngineUse& use)
{
    archive(use.engine_, use.onlineRequests_, use.batchItems_, use.nonPreemptibleItems_);
}

template <class Archive>
void serialize(Archive& archive, WaitingClass& waiting)
{
    archive(waiting.rank_, Flag { waiting.isBelowShare_ }, waiting.count_, waiting.inTime_, waiting.firstUsage_);
}

template <class Archive>
void serialize(Archive& archive, EngineSpeedReport& speed)
{
    archive(speed.engine_, speed.lasting_, speed.momentary_);
}

template <class Archive>
void serialize(Archive& archive, WaitingRequests& waiting)
{
    archive(waiting.service_, waiting.count_, waiting.inTime_, list<maxWaitingClasses>(waiting.classes_));
}

template <class Archive>
void serialize(Archive& archive, WaitingItems& waiting)
{
    archive(waiting.service_, waiting.count_, Milliseconds { waiting.dueIn_ });
}

template <class Archive>
void serialize(Archive& archive, NodeUse& use)
{
    archive(use.node_, use.incarnation_, use.sequence_);
    archive(list<maxUses>(use.uses_), list<maxBackedOff>(use.failingEngines_), list<maxServices>(use.waiting_), list<maxServices>(use.items_), list<maxSpeeds>(use.speeds_));
}

template <class Archive>
void serialize(Archive& archive, NodeReport& report)
{
    archive(report.use_, Flag { report.runsJobs_ }, Flag { report.leaving_ }, report.configVersion_, report.enginesVersion_);
    archive(Flag { report.watching_ }, Flag { report.spoolsJobs_ }, report.spooledJobs_, Flag { report.isStoreUnreachable_ }, Flag { report.isOverloaded_ });
}

template <class Archive>
void serialize(Archive& archive, PreemptRequest& request)
{
    archive(request.from_, request.engine_, Flag { request.isForwarded_ });
}

template <class Archive>
void serialize(Archive& archive, CellUse& use)
{
    archive(use.cell_, use.delegate_, use.isBrief_);
    archive(list<maxUses>(use.uses_), list<maxBackedOff>(use.failingEngines_), list<maxServices>(use.waiting_), list<maxServices>(use.items_));
}

template <class Archive>
void serialize(Archive& archive, CellNode& node)
{
    archive(node.node_, Flag { node.runsJobs_ }, Flag { node.watching_ }, Flag { node.spoolsJobs_ }, node.spooledJobs_, Flag { node.isBehind_ }, Flag { node.isStoreUnreachable_ });
}

template <class Archive>
void serialize(Archive& archive, CellSummary& cell)
{
    archive(cell.use_, Milliseconds { cell.age_ }, cell.configVersion_, cell.enginesVersion_, cell.liveNodes_, list<maxNodes>(cell.nodes_));
}

template <class Archive>
void serialize(Archive& archive, CellDigest& digest)
{
    archive(list<maxCells>(digest.cells_), Flag { digest.isForwarded_ });
}

template <class Archive>
void serialize(Archive& archive, QuotaCount& count)
{
    archive(count.workspace_, count.admitted_, count.latest_);
}

template <class Archive>
void serialize(Archive& archive, QuotaReport& report)
{
    archive(report.from_, report.incarnation_, report.sequence_, list<maxQuotaEntries>(report.counts_));
}

template <class Archive>
void serialize(Archive& archive, AdmissionRequest& ask)
{
    archive(ask.from_, ask.incarnation_, ask.number_, ask.workspace_, ask.admitted_);
}

template <class Archive>
void serialize(Archive& archive, AdmissionDecision& decision)
{
    archive(decision.number_, decision.workspace_, Flag { decision.isAdmitted_ }, Milliseconds { decision.wait_ });
}

template <class Archive>
void serialize(Archive& archive, QuotaNotice& notice)
{
    archive(list<maxQuotaEntries>(notice.scarce_), list<maxQuotaEntries>(notice.ample_));
}

template <class Archive>
void serialize(Archive& archive, StreamRecord& record)
{
    archive(record.stream_, record.service_, record.version_);
}

template <class Archive>
void serialize(Archive& archive, StreamRecords& records)
{
    archive(list<maxStreamRecords>(records.records_));
}

template <class Archive>
void serialize(Archive& archive, StreamQuery& query)
{
    archive(query.from_, query.number_, query.stream_, query.service_);
}

template <class Archive>
void serialize(Archive& archive, StreamAnswer& answer)
{
    archive(answer.from_, answer.number_, Flag { answer.isRecorded_ }, answer.record_, answer.soleVersion_, Flag { answer.hasSeveralVersions_ }, answer.seenVersion_);
}

template <class Archive>
void serialize(Archive& archive, CrashObservation& crash)
{
    archive(crash.engine_, Milliseconds { crash.age_ });
}

template <class Archive>
void serialize(Archive& archive, SuspectRecord& record)
{
    bool isAnswered = record.answeredAge_.has_value();
    Duration answeredAge = record.answeredAge_.value_or(Duration::zero());
    archive(record.suspect_, record.depth_, record.trials_, Milliseconds { record.idleAge_ }, Flag { isAnswered }, Milliseconds { answeredAge }, list<maxCrashesPerSuspect>(record.crashes_));
    record.answeredAge_ = isAnswered ? std::optional(answeredAge) : std::nullopt;
}

template <class Archive>
void serialize(Archive& archive, SuspectRecords& records)
{
    archive(records.from_, Flag { records.isReply_ }, list<maxRecordsPerMessage>(records.records_));
}

template <class Archive>
void serialize(Archive& archive, WorkspaceUsage& usage)
{
    archive(usage.workspace_, usage.slots_);
}

template <class Archive>
void serialize(Archive& archive, RankUsage& usage)
{
    archive(usage.rank_, usage.slots_);
}

template <class Archive>
void serialize(Archive& archive, ShareReport& report)
{
    archive(report.node_, report.incarnation_, report.sequence_, list<maxShareEntries>(report.workspaces_), list<maxRanks>(report.ranks_));
}

template <class Archive>
void serialize(Archive& archive, ShareSum& sum)
{
    archive(sum.cell_, Flag { sum.isOfFleet_ }, sum.incarnation_, sum.sequence_, list<maxShareEntries>(sum.workspaces_), list<maxRanks>(sum.ranks_), sum.delegate_);
}

// NOLINTEND(readability-identifier-naming)

namespace {

    template <class Message>
    Result<PeerDatagram> read(cereal::PortableBinaryInputArchive& archive, const ViewSource& source)
    {
        Message message;
        archive(message);
        if (!source.isEmpty())
            return PeerError::Unreadable;
        return PeerDatagram(std::move(message));
    }

    Result<PeerDatagram> decodePayload(std::string_view payload)
    {
        ViewSource source(payload);
        std::istream stream(&source);
        cereal::PortableBinaryInputArchive archive(stream);
        std::uint8_t type = 0;
        archive(type);
        switch (type) {
        case 0:
            return read<NodeReport>(archive, source);
        case 1:
            return read<PreemptRequest>(archive, source);
        case 2:
            return read<CellDigest>(archive, source);
        case 3:
            return read<QuotaReport>(archive, source);
        case 4:
            return read<AdmissionRequest>(archive, source);
        case 5:
            return read<AdmissionDecision>(archive, source);
        case 6:
            return read<QuotaNotice>(archive, source);
        case 7:
            return read<StreamRecords>(archive, source);
        case 8:
            return read<StreamQuery>(archive, source);
        case 9:
            return read<StreamAnswer>(archive, source);
        case 10:
            return read<SuspectRecords>(archive, source);
        case 11:
            return read<ShareReport>(archive, source);
        case 12:
            return read<ShareSum>(archive, source);
        default:
            return PeerError::Unreadable;
        }
    }

} // namespace

std::string encode(const WireKey& key, const PeerDatagram& datagram)
{
    std::string bytes;
    StringSink sink(bytes);
    std::ostream stream(&sink);
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(static_cast<std::uint8_t>(datagram.index()));
        std::visit(
            [&archive](auto message) {
                truncateToLimits(message);
                archive(message);
            },
            datagram);
    }
    const auto mac = key.mac({ datagramLabel, bytes });
    bytes.append(mac.data(), mac.size());
    return bytes;
}

Result<PeerDatagram> decodeDatagram(const WireKey& key, std::string_view bytes)
{
    if (bytes.size() < macBytes)
        return PeerError::Unauthentic;
    const std::string_view mac = bytes.substr(bytes.size() - macBytes);
    bytes.remove_suffix(macBytes);
    if (!key.verify(mac, { datagramLabel, bytes }))
        return PeerError::Unauthentic;
    try {
        return decodePayload(bytes);
    } catch (const std::exception&) {
        return PeerError::Unreadable;
    }
}

std::vector<CellDigest> packDigests(const std::vector<CellSummary>& cells)
{
    std::vector<CellDigest> digests;
    std::size_t freeBytes = 0;
    for (const CellSummary& cell : cells) {
        const std::size_t bytes = bytesOf(cell);
        if (digests.empty() || bytes > freeBytes) {
            digests.push_back({ {}, true });
            freeBytes = frameBytes - macBytes;
        }
        digests.back().cells_.push_back(cell);
        freeBytes -= std::min(freeBytes, bytes);
    }
    return digests;
}

} // namespace jj
