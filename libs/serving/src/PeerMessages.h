// Calls between serving nodes: jobs, reads, updates, and calls of the store. Datagrams stand in ReportMessages.h.
//
// Coded with cereal and closed with a code of the fleet's key (wire/Key.h). Bytes that don't verify are never decoded, so a decoder
// sees only what a peer encoded.
#pragma once

#include "RemovalHistory.h"
#include "base/Result.h"
#include "ledger/JobScheduler.h"
#include "ledger/KeptJob.h"
#include "objects/ObjectApi.h"
#include "wire/Key.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jj {

// The store doesn't serve the sender; the receiver makes the call in its place.
struct StoreAsk {
    ObjectCall call_;
};
// What has changed since the versions that the sender has.
struct UpdateRequest {
    std::uint64_t configVersion_ = 0;
    std::uint64_t enginesVersion_ = 0;
};
struct AdoptAsk {
    JobTransfer job_;
};
struct ReadAsk {
    JobName job_;
    std::uint32_t after_ = 0;
    std::uint32_t waitMs_ = 0;
};
struct BodyAsk {
    JobName job_;
    std::string item_;
};
struct EndAsk {
    JobName job_;
};
// The store takes no jobs; the receiver keeps this one on its disk until it does.
struct KeepAsk {
    KeptJob job_;
};
// The store has the job; a copy is of no use any more.
struct ForgetAsk {
    JobName job_;
};
// The sender follows the store, and found an object of a kind that concerns hosts that run jobs: the mark of a job's end, or an order to
// empty a host.
struct FoundObject {
    std::string key_;
};
using PeerCall = std::variant<StoreAsk, UpdateRequest, AdoptAsk, ReadAsk, BodyAsk, EndAsk, KeepAsk, ForgetAsk, FoundObject>;

// An engine that the store doesn't name any more, and that the sender still uses; see EngineCatalog.h.
struct MissingEngine {
    std::string key_;
    ObjectVersion version_; // of the removal
    Duration goneIn_ {}; // from when this was sent
};
struct EngineUpdate {
    std::uint64_t version_ = 0; // of the newest change in it; 0: the receiver knows no engines
    bool isWhole_ = false; // engines that neither entries_ nor unchanged_ names are gone
    std::vector<ObjectEntry> entries_; // with values, as the store holds them
    std::vector<std::string> unchanged_; // whole: keys of engines that the receiver knows as they are
    std::vector<std::string> removed_; // not whole: keys
    std::vector<MissingEngine> missing_;
    std::vector<VersionGap> gaps_; // where the sender may have missed removals, see RemovalHistory.h

    // About what it takes on the wire.
    std::size_t bytes() const;
};
struct UpdateReply {
    std::string config_; // as the store holds it; empty: none newer
    EngineUpdate engines_;
    bool isBusy_ = false; // no update: the sender has too many askers, and another peer has the same
};
struct AdoptReply {
    bool taken_ = false;
};
struct KeepReply {
    KeepOutcome outcome_ = KeepOutcome::Refused;
};
using PeerReply = std::variant<ObjectAnswer, UpdateReply, AdoptReply, ReadAnswer, BodyAnswer, EndAnswer, KeepReply>;

enum class PeerError : int {
    Unauthentic = 1, // the code doesn't fit the bytes
    Unreadable, // another version of the program wrote them
    Unreachable, // no answer
};
std::error_code make_error_code(PeerError error);

std::string encode(const WireKey& key, const PeerCall& call);
std::string encode(const WireKey& key, const PeerReply& reply);
Result<PeerCall> decodeCall(const WireKey& key, std::string_view bytes);
Result<PeerReply> decodeReply(const WireKey& key, std::string_view bytes);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::PeerError> : std::true_type {
};
