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
    constexpr std::size_t mostUses = 700;
    constexpr std::size_t mostShunned = 256;
    constexpr std::size_t mostServices = 64;
    constexpr std::size_t mostNodes = 64;
    constexpr std::size_t mostCells = 64;
    // Upper bounds for the sizes on the wire, which follow from the fields serialized below. They serve to pack digests into frames.
    // serviceBytes covers both WaitingRequests and WaitingItems.
    constexpr std::size_t summaryBytes = 64;
    constexpr std::size_t useBytes = 14;
    constexpr std::size_t idBytes = 8;
    constexpr std::size_t serviceBytes = 18;
    constexpr std::size_t nodeBytes = 17;

    constexpr std::string_view datagramLabel = "serving datagram 5";

    template <class T>
    void cut(std::vector<T>& list, std::size_t most) { list.resize(std::min(list.size(), most)); }

    void cutToLimits(NodeUse& use)
    {
        cut(use.uses_, mostUses);
        cut(use.failingEngines_, mostShunned);
        cut(use.waiting_, mostServices);
        cut(use.items_, mostServices);
    }

    void cutToLimits(NodeReport& report) { cutToLimits(report.use_); }
    void cutToLimits(GiveWay&) { }
    void cutToLimits(CellDigest& digest)
    {
        cut(digest.cells_, mostCells);
        for (CellSummary& cell : digest.cells_) {
            cut(cell.use_.uses_, mostUses);
            cut(cell.use_.failingEngines_, mostShunned);
            cut(cell.use_.waiting_, mostServices);
            cut(cell.use_.items_, mostServices);
            cut(cell.nodes_, mostNodes);
        }
    }

    std::size_t bytesOf(const CellSummary& cell)
    {
        return summaryBytes + cell.use_.uses_.size() * useBytes + cell.use_.failingEngines_.size() * idBytes + (cell.use_.waiting_.size() + cell.use_.items_.size()) * serviceBytes + cell.nodes_.size() * nodeBytes;
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
void serialize(Archive& archive, WaitingRequests& waiting)
{
    archive(waiting.service_, waiting.count_, waiting.inTime_);
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
    archive(list<mostUses>(use.uses_), list<mostShunned>(use.failingEngines_), list<mostServices>(use.waiting_), list<mostServices>(use.items_));
}

template <class Archive>
void serialize(Archive& archive, NodeReport& report)
{
    archive(report.use_, Flag { report.runsJobs_ }, Flag { report.leaving_ }, report.configVersion_, report.enginesVersion_);
    archive(Flag { report.watching_ }, Flag { report.keepsJobs_ }, report.keptJobs_, Flag { report.lostStore_ });
}

template <class Archive>
void serialize(Archive& archive, GiveWay& ask)
{
    archive(ask.from_, ask.engine_, Flag { ask.isPassedOn_ });
}

template <class Archive>
void serialize(Archive& archive, CellUse& use)
{
    archive(use.cell_, use.delegate_);
    archive(list<mostUses>(use.uses_), list<mostShunned>(use.failingEngines_), list<mostServices>(use.waiting_), list<mostServices>(use.items_));
}

template <class Archive>
void serialize(Archive& archive, CellNode& node)
{
    archive(node.node_, Flag { node.runsJobs_ }, Flag { node.watching_ }, Flag { node.keepsJobs_ }, node.keptJobs_, Flag { node.isBehind_ }, Flag { node.lostStore_ });
}

template <class Archive>
void serialize(Archive& archive, CellSummary& cell)
{
    archive(cell.use_, Milliseconds { cell.age_ }, cell.configVersion_, cell.enginesVersion_, cell.liveNodes_, list<mostNodes>(cell.nodes_));
}

template <class Archive>
void serialize(Archive& archive, CellDigest& digest)
{
    archive(list<mostCells>(digest.cells_), Flag { digest.isPassedOn_ });
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
            return read<GiveWay>(archive, source);
        case 2:
            return read<CellDigest>(archive, source);
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
                cutToLimits(message);
                archive(message);
            },
            datagram);
    }
    const auto code = key.mac({ datagramLabel, bytes });
    bytes.append(code.data(), code.size());
    return bytes;
}

Result<PeerDatagram> decodeDatagram(const WireKey& key, std::string_view bytes)
{
    if (bytes.size() < macBytes)
        return PeerError::Unauthentic;
    const std::string_view code = bytes.substr(bytes.size() - macBytes);
    bytes.remove_suffix(macBytes);
    if (!key.verify(code, { datagramLabel, bytes }))
        return PeerError::Unauthentic;
    try {
        return decodePayload(bytes);
    } catch (const std::exception&) {
        return PeerError::Unreadable;
    }
}

std::vector<CellDigest> passedOn(const std::vector<CellSummary>& cells)
{
    std::vector<CellDigest> digests;
    std::size_t room = 0;
    for (const CellSummary& cell : cells) {
        const std::size_t bytes = bytesOf(cell);
        if (digests.empty() || bytes > room) {
            digests.push_back({ {}, true });
            room = frameBytes - macBytes;
        }
        digests.back().cells_.push_back(cell);
        room -= std::min(room, bytes);
    }
    return digests;
}

} // namespace jj
