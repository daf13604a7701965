// Encoding and checking of datagrams.
#include "wire/DatagramCodec.h"

#include "Bytes.h"
#include "wire/Codec.h"
#include "wire/LinkMessages.h"

#include <utility>

namespace jj {

namespace {

    constexpr std::string_view datagramUse = "jayjunction datagram";

    constexpr std::size_t senderAt = 2;
    constexpr std::size_t targetAt = 10;
    constexpr std::size_t incarnationAt = 18;
    constexpr std::size_t counterAt = 26;

} // namespace

Result<void> ReplayWindow::take(Incarnation incarnation, std::uint64_t counter)
{
    if (incarnation_.isNone() || incarnation > incarnation_) {
        incarnation_ = incarnation;
        highest_ = counter;
        seen_ = 1;
        return success();
    }
    if (incarnation < incarnation_)
        return WireError::StaleIncarnation;
    if (counter > highest_) {
        const std::uint64_t step = counter - highest_;
        seen_ = step >= replayWindow ? 1 : (seen_ << step) | 1;
        highest_ = counter;
        return success();
    }
    const std::uint64_t behind = highest_ - counter;
    if (behind >= replayWindow || (seen_ >> behind & 1) != 0)
        return WireError::Replayed;
    seen_ |= std::uint64_t { 1 } << behind;
    return success();
}

DatagramCodec::DatagramCodec(const WireKey& key, NodeId self)
    : key_(key.derive({ datagramUse }))
    , self_(self)
{
}

Result<std::string> DatagramCodec::encode(NodeId target, Incarnation selfIncarnation, const DatagramMessage& message)
{
    std::string bytes;
    bytes.reserve(maxDatagramBytes);
    bytes.push_back(static_cast<char>(wireVersion));
    bytes.push_back(static_cast<char>(wireTypeOf(message)));
    for (std::uint64_t number : { self_.value(), target.value(), selfIncarnation.value(), counter_ })
        bytes.append(viewOf(toLittleEndian(number)));
    BOOST_OUTCOME_TRY(encodePayload(message, bytes));
    if (bytes.size() + macBytes > maxDatagramBytes)
        return WireError::Oversized;
    const auto mac = key_.mac({ bytes });
    bytes.append(mac.data(), mac.size());
    ++counter_;
    return bytes;
}

Result<Datagram> DatagramCodec::decode(std::string_view bytes)
{
    if (bytes.size() > maxDatagramBytes)
        return errors_.count(WireError::Oversized);
    if (bytes.size() < datagramHeaderBytes + macBytes)
        return errors_.count(WireError::Malformed);
    if (static_cast<std::uint8_t>(bytes[0]) != wireVersion)
        return errors_.count(WireError::WrongVersion);
    const std::string_view covered = bytes.substr(0, bytes.size() - macBytes);
    if (!key_.verify(bytes.substr(covered.size()), { covered }))
        return errors_.count(WireError::BadMac);
    if (NodeId(fromLittleEndian<std::uint64_t>(covered.substr(targetAt))) != self_)
        return errors_.count(WireError::WrongTarget);

    Datagram datagram;
    datagram.sender_ = NodeId(fromLittleEndian<std::uint64_t>(covered.substr(senderAt)));
    datagram.incarnation_ = Incarnation(fromLittleEndian<std::uint64_t>(covered.substr(incarnationAt)));
    const auto counter = fromLittleEndian<std::uint64_t>(covered.substr(counterAt));
    if (const Result<void> taken = windows_[datagram.sender_].take(datagram.incarnation_, counter); !taken) {
        const auto error = static_cast<WireError>(taken.error().value());
        if (error == WireError::StaleIncarnation)
            staleSender_ = datagram.sender_;
        return errors_.count(error);
    }
    Result<DatagramMessage> message = decodeDatagramPayload(static_cast<std::uint8_t>(covered[1]), covered.substr(datagramHeaderBytes));
    if (!message)
        return errors_.count(static_cast<WireError>(message.error().value()));
    datagram.message_ = std::move(message.value());
    return datagram;
}

} // namespace jj
