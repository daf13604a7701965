// The fields of each message, and the archives over plain memory.
#include "wire/Codec.h"

#include "wire/Error.h"
#include "wire/Fields.h"
#include "wire/MemoryStreams.h"

#include <istream>
#include <ostream>
#include <type_traits>
#include <utility>

namespace jj {

template <class Archive>
void serialize(Archive& archive, PeerAddress& endpoint)
{
    archive(endpoint.ip_, endpoint.port_);
}

template <class Archive>
void serialize(Archive& archive, AttemptKey& key)
{
    archive(key.request_, key.attempt_, key.incarnation_);
}

template <class Archive>
void serialize(Archive& archive, Hello& message)
{
    archive(message.node_, message.incarnation_, message.endpoint_);
    archive(cereal::binary_data(message.nonce_.data(), message.nonce_.size()));
}

template <class Archive>
void serialize(Archive& archive, Heartbeat& message)
{
    archive(message.sequence_, message.echo_);
}

template <class Archive>
void serialize(Archive& archive, RequestStart& message)
{
    archive(message.key_, message.upstream_, message.service_, message.workspace_);
    archive(choice(message.kind_, RequestKind::PlainCall), choice(message.class_, TrafficClass::Batch));
    archive(Flag { message.streamed_ }, Flag { message.repeatable_ });
    archive(message.promptTokens_, message.maxTokens_, message.resumePosition_, message.fingerprint_, message.prefix_);
    archive(message.prefixTokens_, message.originRegion_, message.job_, message.startWithinMs_, message.slackMs_);
    archive(message.remainingMs_, message.creditBytes_);
    archive(text<maxNameBytes>(message.method_), text<maxPathBytes>(message.path_), text<maxNameBytes>(message.contentType_));
    archive(text<maxNameBytes>(message.idempotencyKey_), text<maxBodyBytes>(message.body_));
}

template <class Archive>
void serialize(Archive& archive, StreamHead& message)
{
    archive(message.key_, message.status_, text<maxNameBytes>(message.contentType_));
}

template <class Archive>
void serialize(Archive& archive, StreamData& message)
{
    archive(message.key_, message.position_, message.count_, text<maxBodyBytes>(message.bytes_));
}

template <class Archive>
void serialize(Archive& archive, StreamEnd& message)
{
    archive(message.key_, choice(message.finish_, Finish::Moved), choice(message.failure_, StreamFailure::Internal));
    archive(choice(message.runState_, RunState::OutcomeUnknown));
    archive(message.status_, message.retryAfterMs_, message.position_, message.nextHome_);
    archive(message.failedOn_, message.crashes_);
}

template <class Archive>
void serialize(Archive& archive, CancelRequest& message)
{
    archive(message.key_);
}

template <class Archive>
void serialize(Archive& archive, Credit& message)
{
    archive(message.key_, message.bytes_);
}

template <class Archive>
void serialize(Archive& archive, ConfigRequest& message)
{
    archive(message.version_);
}

template <class Archive>
void serialize(Archive& archive, ConfigReply& message)
{
    archive(message.version_, text<maxBodyBytes>(message.value_));
}

template <class Archive>
void serialize(Archive& archive, JobNotice& message)
{
    archive(choice(message.kind_, JobNoticeKind::Stopped), message.job_, message.epoch_);
}

template <class Archive>
void serialize(Archive& archive, FingerprintNotice& message)
{
    archive(message.fingerprint_, message.service_, message.crashes_, message.lastUpstream_);
}

template <class Archive>
void serialize(Archive& archive, MemberRumor& rumor)
{
    archive(rumor.node_, rumor.endpoint_, rumor.region_, rumor.domain_, rumor.incarnation_, rumor.refutation_);
    archive(choice(rumor.state_, MemberState::Left), rumor.revision_, Flag { rumor.leaving_ }, rumor.inForce_);
}

template <class Archive>
void serialize(Archive& archive, UpstreamLoad& load)
{
    archive(load.upstream_, load.home_, load.sequence_, load.onlineRunning_, load.onlineWaiting_, load.batchRunning_, load.batchWaiting_);
    archive(load.slots_, load.batchRoom_, load.waitMs_, load.freshWaitMs_, load.stepUs_, Flag { load.suspect_ }, load.memoryUsed_);
}

template <class Archive>
void serialize(Archive& archive, QuarantineMark& mark)
{
    archive(mark.fingerprint_, mark.remainingMs_);
}

template <class Archive>
void serialize(Archive& archive, UpstreamMark& mark)
{
    archive(mark.upstream_, mark.revision_, Flag { mark.leaving_ });
}

template <class Archive>
void serialize(Archive& archive, RegionContact& contact)
{
    archive(contact.region_, contact.ageMs_);
}

template <class Archive>
void serialize(Archive& archive, ConfigReport& report)
{
    archive(report.version_, report.view_, list<maxViewBytes>(report.applied_));
}

template <class Archive>
void serialize(Archive& archive, MembershipDigest& digest)
{
    archive(digest.configVersion_, digest.report_, list<maxRegions>(digest.regions_));
    archive(list<maxRumors>(digest.rumors_), list<maxLoads>(digest.loads_));
    archive(list<maxQuarantined>(digest.quarantined_), list<maxUpstreamMarks>(digest.upstreams_));
}

template <class Archive>
void serialize(Archive& archive, Ping& message)
{
    archive(message.probe_, Flag { message.wantsState_ }, message.digest_);
}

template <class Archive>
void serialize(Archive& archive, PingRequest& message)
{
    archive(message.probe_, message.subject_, message.subjectEndpoint_, message.digest_);
}

template <class Archive>
void serialize(Archive& archive, Ack& message)
{
    archive(message.probe_, message.subject_, message.digest_);
}

template <class Archive>
void serialize(Archive& archive, Notice& message)
{
    archive(message.digest_);
}

namespace {

    template <class Variant>
    Result<void> encodeVariant(const Variant& message, std::string& out)
    {
        const std::size_t before = out.size();
        try {
            StringSink sink(out);
            std::ostream stream(&sink);
            cereal::PortableBinaryOutputArchive archive(stream);
            std::visit([&archive](const auto& alternative) { archive(alternative); }, message);
        } catch (const std::exception&) {
            out.resize(before);
            return WireError::Oversized;
        }
        return success();
    }

    template <class Alternative, class Variant>
    Result<Variant> decodeAlternative(std::string_view payload)
    {
        try {
            ViewSource source(payload);
            std::istream stream(&source);
            cereal::PortableBinaryInputArchive archive(stream);
            Alternative message;
            archive(message);
            if (!source.isEmpty())
                return WireError::Malformed;
            return Variant(std::move(message));
        } catch (const std::exception&) {
            return WireError::Malformed;
        }
    }

    // Finds the alternative whose type number it is.
    template <class Variant, std::size_t I = 0>
    Result<Variant> decodeVariant(std::uint8_t type, std::string_view payload)
    {
        if constexpr (I == std::variant_size_v<Variant>) {
            return WireError::UnknownType;
        } else {
            using Alternative = std::variant_alternative_t<I, Variant>;
            if (type == static_cast<std::uint8_t>(Alternative::wireType))
                return decodeAlternative<Alternative, Variant>(payload);
            return decodeVariant<Variant, I + 1>(type, payload);
        }
    }

    template <class Variant>
    std::uint8_t typeOf(const Variant& message)
    {
        return std::visit([](const auto& alternative) {
            return static_cast<std::uint8_t>(std::decay_t<decltype(alternative)>::wireType);
        },
            message);
    }

} // namespace

Result<void> encodePayload(const LinkMessage& message, std::string& out) { return encodeVariant(message, out); }
Result<void> encodePayload(const DatagramMessage& message, std::string& out) { return encodeVariant(message, out); }

Result<LinkMessage> decodeLinkPayload(std::uint8_t type, std::string_view payload)
{
    return decodeVariant<LinkMessage>(type, payload);
}

Result<DatagramMessage> decodeDatagramPayload(std::uint8_t type, std::string_view payload)
{
    return decodeVariant<DatagramMessage>(type, payload);
}

std::uint8_t wireTypeOf(const LinkMessage& message) { return typeOf(message); }
std::uint8_t wireTypeOf(const DatagramMessage& message) { return typeOf(message); }

} // namespace jj
