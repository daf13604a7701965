// Serializes the fields of each message in the order of their declaration.
#include "PeerMessages.h"

#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <sstream>

namespace jj {

namespace {

    class PeerCategory : public std::error_category {
    public:
        const char* name() const noexcept override { return "peers"; }
        std::string message(int value) const override
        {
            switch (static_cast<PeerError>(value)) {
            case PeerError::Unauthentic:
                return "authentication of a peer message failed";
            case PeerError::Unreadable:
                return "a peer message can't be decoded";
            case PeerError::Unreachable:
                return "the peer can't be reached or rejected the call";
            }
            return "unknown error";
        }
    };

    // The authentication code covers a label for the kind of message, so that a call is never accepted as a reply or the reverse.
    constexpr std::string_view callLabel = "serving call 7";
    constexpr std::string_view replyLabel = "serving reply 7";

} // namespace

std::error_code make_error_code(PeerError error)
{
    static const PeerCategory category;
    return { static_cast<int>(error), category };
}

// ---- cereal finds these functions by argument-dependent lookup; it prescribes their names.
// NOLINTBEGIN(readability-identifier-naming)

// Sends an error as its number, which is unambiguous because answers only carry errors of the store.
template <class Archive>
void save(Archive& archive, const ObjectAnswer& answer)
{
    archive(answer.error_.value(), answer.version_, answer.value_, answer.entries_, answer.next_, answer.changes_, answer.retryAfter_);
}

template <class Archive>
void load(Archive& archive, ObjectAnswer& answer)
{
    int error = 0;
    archive(error, answer.version_, answer.value_, answer.entries_, answer.next_, answer.changes_, answer.retryAfter_);
    if (error != 0)
        answer.error_ = static_cast<ObjectError>(error);
}

template <class Archive>
void save(Archive& archive, const JobHead& head)
{
    archive(head.workspace_, head.host_, head.owner_, head.total_, head.itemPages_, head.term_, head.acceptedAt_.time_since_epoch(), head.runTarget_, head.abandonAfter_, head.maxAttempts_, head.state_);
}

template <class Archive>
void load(Archive& archive, JobHead& head)
{
    std::chrono::milliseconds at {};
    archive(head.workspace_, head.host_, head.owner_, head.total_, head.itemPages_, head.term_, at, head.runTarget_, head.abandonAfter_, head.maxAttempts_, head.state_);
    head.acceptedAt_ = WallTime(at);
}

template <class Archive>
void serialize(Archive& archive, ObjectEntry& entry)
{
    archive(entry.key_, entry.version_, entry.size_, entry.value_);
}

template <class Archive>
void serialize(Archive& archive, ObjectChange& change)
{
    archive(change.kind_, change.version_, change.key_, change.value_);
}

template <class Archive>
void serialize(Archive& archive, ObjectCall& call)
{
    archive(call.verb_, call.key_, call.value_, call.expected_, call.limit_, call.after_, call.withValues_, call.stale_, call.wait_);
}

template <class Archive>
void serialize(Archive& archive, JobItem& item)
{
    archive(item.id_, item.path_, item.headers_, item.body_);
}

template <class Archive>
void serialize(Archive& archive, JobResult& result)
{
    archive(result.item_, result.state_, result.text_);
}

template <class Archive>
void serialize(Archive& archive, JobTransfer::Progress& progress)
{
    archive(progress.item_, progress.text_, progress.events_, progress.lastEvent_, progress.version_);
}

template <class Archive>
void serialize(Archive& archive, ItemFailures& failures)
{
    archive(failures.item_, failures.runs_, failures.isUnprocessable_);
}

template <class Archive>
void save(Archive& archive, const JobKey& job)
{
    archive(job.name_, job.acceptedAt_.time_since_epoch());
}

template <class Archive>
void load(Archive& archive, JobKey& job)
{
    std::chrono::milliseconds at {};
    archive(job.name_, at);
    job.acceptedAt_ = WallTime(at);
}

template <class Archive>
void serialize(Archive& archive, JobFailures& failures)
{
    archive(failures.job_, failures.items_);
}

template <class Archive>
void serialize(Archive& archive, ShareFailuresRequest& request)
{
    archive(request.failures_);
}

template <class Archive>
void serialize(Archive& archive, ShareFailuresReply& reply)
{
    archive(reply.failures_);
}

template <class Archive>
void serialize(Archive& archive, JobTransfer& job)
{
    archive(job.job_, job.head_, job.headVersion_, job.items_, job.resultPages_, job.mayHaveResults_, job.progress_, job.failures_, job.isTakenOver_);
}

template <class Archive>
void serialize(Archive& archive, JobSubmission& submission)
{
    archive(submission.job_, submission.head_, submission.items_);
}

template <class Archive>
void serialize(Archive& archive, SpooledJob& job)
{
    archive(job.submission_, job.rank_);
}

template <class Archive>
void serialize(Archive& archive, SpoolRequest& request)
{
    archive(request.job_);
}

template <class Archive>
void serialize(Archive& archive, DropSpooledRequest& request)
{
    archive(request.job_);
}

template <class Archive>
void serialize(Archive& archive, ObjectNotice& notice)
{
    archive(notice.key_);
}

template <class Archive>
void serialize(Archive& archive, SpoolReply& reply)
{
    archive(reply.outcome_);
}

template <class Archive>
void serialize(Archive& archive, StoreRequest& request)
{
    archive(request.call_);
}

template <class Archive>
void serialize(Archive& archive, UpdateRequest& request)
{
    archive(request.configVersion_, request.enginesVersion_);
}

template <class Archive>
void serialize(Archive& archive, AdoptRequest& request)
{
    archive(request.job_);
}

template <class Archive>
void serialize(Archive& archive, ReadRequest& request)
{
    archive(request.job_, request.after_, request.waitMs_);
}

template <class Archive>
void serialize(Archive& archive, BodyRequest& request)
{
    archive(request.job_, request.item_);
}

template <class Archive>
void serialize(Archive& archive, CancelJobRequest& request)
{
    archive(request.job_);
}

template <class Archive>
void serialize(Archive& archive, MissingEngine& missing)
{
    archive(missing.key_, missing.version_, missing.timeToRemoval_);
}

template <class Archive>
void serialize(Archive& archive, VersionGap& gap)
{
    archive(gap.from_, gap.to_);
}

// Cereal writes the length of a string in eight bytes, which would be a quarter of an engine record. A key, name or address that is longer
// than shortTextBytes is cut; none of them can be, because the store limits names to fewer bytes.
template <class Archive>
void saveShort(Archive& archive, std::string_view text)
{
    constexpr std::size_t shortTextBytes = UINT16_MAX;
    const auto size = static_cast<std::uint16_t>(std::min(text.size(), shortTextBytes));
    archive(size, cereal::binary_data(text.data(), size));
}

template <class Archive>
std::string loadShort(Archive& archive)
{
    std::uint16_t size = 0;
    archive(size);
    std::string text(size, '\0');
    archive(cereal::binary_data(text.data(), text.size()));
    return text;
}

// An engine is usually named like its key without the prefix, and then its name isn't sent.
template <class Archive>
void save(Archive& archive, const EngineRecord& record)
{
    const EngineEntry& engine = record.engine_;
    const bool isNamedByKey = record.key_.ends_with(engine.name_);
    saveShort(archive, record.key_);
    archive(static_cast<std::uint16_t>(engine.name_.size()), isNamedByKey);
    if (!isNamedByKey)
        saveShort(archive, engine.name_);
    saveShort(archive, engine.at_.address_);
    saveShort(archive, engine.softwareVersion_.name());
    archive(record.version_, engine.id_, engine.at_.port_, engine.region_, engine.domain_, engine.slots_, engine.draining_);
}

template <class Archive>
void load(Archive& archive, EngineRecord& record)
{
    EngineEntry& engine = record.engine_;
    std::uint16_t nameSize = 0;
    bool isNamedByKey = false;
    record.key_ = loadShort(archive);
    archive(nameSize, isNamedByKey);
    engine.name_ = isNamedByKey ? record.key_.substr(record.key_.size() - std::min<std::size_t>(nameSize, record.key_.size())) : loadShort(archive);
    engine.at_.address_ = loadShort(archive);
    engine.softwareVersion_ = SoftwareVersion(loadShort(archive));
    archive(record.version_, engine.id_, engine.at_.port_, engine.region_, engine.domain_, engine.slots_, engine.draining_);
}

// Sends the name of each service once, before its engines.
template <class Archive>
void save(Archive& archive, const EngineUpdate& update)
{
    std::map<std::string, std::vector<const EngineRecord*>> byService;
    for (const EngineRecord& record : update.entries_)
        byService[record.engine_.service_].push_back(&record);
    archive(update.version_, update.isFullState_, static_cast<std::uint32_t>(byService.size()));
    for (const auto& [service, records] : byService) {
        archive(service, static_cast<std::uint32_t>(records.size()));
        for (const EngineRecord* record : records)
            archive(*record);
    }
    archive(update.unchanged_, update.removed_, update.missing_, update.gaps_);
}

template <class Archive>
void load(Archive& archive, EngineUpdate& update)
{
    std::uint32_t services = 0;
    archive(update.version_, update.isFullState_, services);
    for (; services > 0; --services) {
        std::string service;
        std::uint32_t records = 0;
        archive(service, records);
        for (; records > 0; --records) {
            EngineRecord& record = update.entries_.emplace_back();
            archive(record);
            record.engine_.service_ = service;
        }
    }
    archive(update.unchanged_, update.removed_, update.missing_, update.gaps_);
}

template <class Archive>
void serialize(Archive& archive, UpdateReply& reply)
{
    archive(reply.config_, reply.engines_, reply.isBusy_);
}

template <class Archive>
void serialize(Archive& archive, AdoptReply& reply)
{
    archive(reply.accepted_);
}

template <class Archive>
void serialize(Archive& archive, ReadAnswer& answer)
{
    archive(answer.outcome_, answer.owner_, answer.total_, answer.next_, answer.results_);
}

template <class Archive>
void serialize(Archive& archive, BodyAnswer& answer)
{
    archive(answer.outcome_, answer.owner_, answer.body_);
}

template <class Archive>
void serialize(Archive& archive, CancelAnswer& answer)
{
    archive(answer.outcome_, answer.owner_);
}

// NOLINTEND(readability-identifier-naming)

namespace {

    template <class Message>
    std::string encodeAs(const WireKey& key, std::string_view label, const Message& message)
    {
        std::ostringstream out;
        cereal::BinaryOutputArchive archive(out);
        archive(message);
        std::string bytes = std::move(out).str();
        const auto mac = key.mac({ label, bytes });
        bytes.append(mac.data(), mac.size());
        return bytes;
    }

    template <class Message>
    Result<Message> decodeAs(const WireKey& key, std::string_view label, std::string_view bytes)
    {
        if (bytes.size() < macBytes)
            return PeerError::Unauthentic;
        const std::string_view mac = bytes.substr(bytes.size() - macBytes);
        bytes.remove_suffix(macBytes);
        if (!key.verify(mac, { label, bytes }))
            return PeerError::Unauthentic;
        std::istringstream in { std::string(bytes) };
        try {
            cereal::BinaryInputArchive archive(in);
            Message message;
            archive(message);
            return message;
        } catch (const std::exception&) {
            return PeerError::Unreadable;
        }
    }

} // namespace

std::string encode(const WireKey& key, const PeerCall& call) { return encodeAs(key, callLabel, call); }
std::string encode(const WireKey& key, const PeerReply& reply) { return encodeAs(key, replyLabel, reply); }

Result<PeerCall> decodeCall(const WireKey& key, std::string_view bytes) { return decodeAs<PeerCall>(key, callLabel, bytes); }
Result<PeerReply> decodeReply(const WireKey& key, std::string_view bytes) { return decodeAs<PeerReply>(key, replyLabel, bytes); }

std::size_t EngineUpdate::bytes() const
{
    constexpr std::size_t recordBytes = 76; // of an engine with a key of 18 characters, an IPv4 address and a version of 4 characters
    constexpr std::size_t namedBytes = 40; // estimated size of a key with its length and version
    return entries_.size() * recordBytes + (unchanged_.size() + removed_.size() + missing_.size() + gaps_.size()) * namedBytes;
}

} // namespace jj
