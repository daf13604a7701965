// Calls between serving nodes: jobs, reads, updates, and relayed calls to the store. ReportMessages.h has the datagrams.
//
// Messages are encoded with cereal and end with an authentication code of the fleet's key (wire/Key.h). Bytes that fail the
// authentication are never decoded, so the decoder only sees what a peer has encoded.
#pragma once

#include "RemovalHistory.h"
#include "base/Result.h"
#include "capacity/CapacityBoard.h"
#include "ledger/JobScheduler.h"
#include "ledger/SpooledJob.h"
#include "objects/ObjectApi.h"
#include "wire/Key.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jj {

// Asks the receiver to make a call to the store, which the sender can't reach itself.
struct StoreRequest {
    ObjectCall call_;
};
// Requests all changes since the versions that the sender has.
struct UpdateRequest {
    std::uint64_t configVersion_ = 0;
    std::uint64_t enginesVersion_ = 0;
};
// Transfers the ownership of a job to the receiver.
struct AdoptRequest {
    JobTransfer job_;
};
// Reads results of a job after position after_. The receiver may wait for up to waitMs_ until there are some.
struct ReadRequest {
    JobName job_;
    std::uint32_t after_ = 0;
    std::uint32_t waitMs_ = 0;
};
// Reads the request body of an item.
struct BodyRequest {
    JobName job_;
    std::string item_;
};
// Cancels a job for its caller.
struct CancelJobRequest {
    JobName job_;
};
// Asks the receiver to spool a job on its disk until the store accepts jobs again.
struct SpoolRequest {
    SpooledJob job_;
};
// Asks the receiver to delete its spooled copy of a job, because the store has the job now.
struct DropSpooledRequest {
    JobName job_;
};
// Notifies a host that runs jobs of an object that the sender, which follows the store, has found: the mark of a job that was
// cancelled bypassing its owner, or an order to drain a host.
struct ObjectNotice {
    std::string key_;
};
// Asks the receiver to hold copies of records of failed items, and to reply with all that it knows of the job.
struct ShareFailuresRequest {
    JobFailures failures_;
};
using PeerCall = std::variant<StoreRequest, UpdateRequest, AdoptRequest, ReadRequest, BodyRequest, CancelJobRequest, SpoolRequest, DropSpooledRequest, ObjectNotice, ShareFailuresRequest>;

// An engine whose entry the store no longer has, while the sender still uses the engine; see EngineCatalog.h.
struct MissingEngine {
    std::string key_;
    ObjectVersion version_; // of the removal
    Duration timeToRemoval_ {}; // remaining time until the sender removes the engine, as of the time of sending
};
// An engine as its entry in the store describes it. Updates carry these fields and not the entry's text, which is three times as long and
// which every receiver would have to parse.
struct EngineRecord {
    std::string key_; // of the entry
    ObjectVersion version_; // of the entry
    EngineEntry engine_; // without the cell, which each node computes
};
struct EngineUpdate {
    std::uint64_t version_ = 0; // of the newest change in the update; 0: the sender hasn't received any engines yet
    bool isFullState_ = false; // a full state: engines in neither entries_ nor unchanged_ have been removed
    std::vector<EngineRecord> entries_; // new and changed entries
    std::vector<std::string> unchanged_; // keys of engines of which the requester has the current entry; only in a full state
    std::vector<std::string> removed_; // keys of removed engines; only in an incremental update
    std::vector<MissingEngine> missing_;
    std::vector<VersionGap> gaps_; // version ranges in which the sender may have missed removals, see RemovalHistory.h

    // Returns the approximate size on the wire.
    std::size_t bytes() const;
};
struct UpdateReply {
    std::string config_; // the configuration, encoded as ConfigCodec.h does; empty if the sender has no newer one
    EngineUpdate engines_;
    bool isBusy_ = false; // no update: the sender's budget for updates is used up; another peer can supply it
};
// Also acknowledges a ObjectNotice.
struct AdoptReply {
    bool accepted_ = false;
};
// Also acknowledges a DropSpooledRequest; the outcome has no meaning then.
struct SpoolReply {
    SpoolOutcome outcome_ = SpoolOutcome::Refused;
};
struct ShareFailuresReply {
    JobFailures failures_;
};
using PeerReply = std::variant<ObjectAnswer, UpdateReply, AdoptReply, ReadAnswer, BodyAnswer, CancelAnswer, SpoolReply, ShareFailuresReply>;

enum class PeerError : int {
    Unauthentic = 1, // the authentication code is wrong
    Unreadable, // decoding failed, for example because the peer runs another version of the program
    Unreachable, // the peer is unknown, didn't reply, or replied with an HTTP error status
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
