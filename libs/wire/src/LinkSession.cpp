// Framing, handshake and authentication of links.
#include "wire/LinkSession.h"

#include "Bytes.h"
#include "wire/Codec.h"

#include <algorithm>
#include <utility>

namespace jj {

namespace {

    constexpr std::string_view helloUse = "jayjunction link hello";
    constexpr std::string_view frameUse = "jayjunction link frame";
    constexpr std::string_view towardsAcceptor = "to acceptor";
    constexpr std::string_view towardsInitiator = "to initiator";

    // Bytes given out are cut off the buffer's front only when they are this many, so that small frames don't each move the rest.
    constexpr std::size_t compactBytes = 64 * 1024;

    std::string_view viewOfNonce(const Nonce& nonce)
    {
        return { reinterpret_cast<const char*>(nonce.data()), nonce.size() };
    }

    LinkSession::Side otherSide(LinkSession::Side side)
    {
        return side == LinkSession::Side::Initiator ? LinkSession::Side::Acceptor : LinkSession::Side::Initiator;
    }

    // A Hello sent by one side isn't valid as the other side's: it can't be reflected to its sender.
    WireKey helloKey(const WireKey& fleet, LinkSession::Side sender)
    {
        return fleet.derive({ helloUse, sender == LinkSession::Side::Initiator ? towardsAcceptor : towardsInitiator });
    }

} // namespace

LinkSession::LinkSession(const WireKey& key, Side side, const Hello& self, std::size_t maxPayload)
    : fleetKey_(key)
    , side_(side)
    , self_(self)
    , maxPayload_(maxPayload)
{
}

Result<LinkSession> LinkSession::create(const WireKey& key, Side side, Hello self, std::size_t maxPayload)
{
    if (self.nonce_ == Nonce {})
        self.nonce_ = randomNonce();
    LinkSession session(key, side, self, maxPayload);
    BOOST_OUTCOME_TRY(std::string frame, session.frameOf(LinkMessage(self), helloKey(key, side), 0));
    session.helloFrame_ = std::move(frame);
    return session;
}

Result<std::string> LinkSession::frameOf(const LinkMessage& message, const WireKey& key, std::uint64_t number) const
{
    std::string frame(frameHeaderBytes, '\0');
    BOOST_OUTCOME_TRY(encodePayload(message, frame));
    const std::size_t payloadBytes = frame.size() - frameHeaderBytes;
    if (payloadBytes > maxPayload_)
        return WireError::Oversized;
    const auto length = toLittleEndian(static_cast<std::uint32_t>(payloadBytes));
    std::copy(length.begin(), length.end(), frame.begin());
    frame[4] = static_cast<char>(wireVersion);
    frame[5] = static_cast<char>(wireTypeOf(message));
    const auto mac = key.mac({ viewOf(toLittleEndian(number)), frame });
    frame.append(mac.data(), mac.size());
    return frame;
}

Result<std::string> LinkSession::encode(const LinkMessage& message)
{
    if (!isOpen())
        return WireError::NotReady;
    if (std::holds_alternative<Hello>(message))
        return WireError::UnexpectedHello;
    BOOST_OUTCOME_TRY(std::string frame, frameOf(message, sendKey_, sent_));
    ++sent_;
    return frame;
}

void LinkSession::feed(std::string_view bytes)
{
    if (!broken_)
        buffer_.append(bytes);
}

Result<std::optional<LinkMessage>> LinkSession::next()
{
    using None = std::optional<LinkMessage>;
    if (broken_ || bufferedBytes() < frameHeaderBytes)
        return None();
    const std::string_view waiting = std::string_view(buffer_).substr(start_);
    // The header is checked before its payload is waited for, so that a stranger can't make the node wait for, or hold, 4 GB.
    if (static_cast<std::uint8_t>(waiting[4]) != wireVersion)
        return fail(WireError::WrongVersion);
    const std::size_t payloadBytes = fromLittleEndian<std::uint32_t>(waiting);
    if (payloadBytes > (peer_ ? maxPayload_ : maxHelloPayloadBytes))
        return fail(WireError::Oversized);
    const std::size_t frameBytes = frameHeaderBytes + payloadBytes + macBytes;
    if (waiting.size() < frameBytes)
        return None();
    auto message = takeFrame(static_cast<std::uint8_t>(waiting[5]), waiting.substr(0, frameBytes));
    discard(frameBytes);
    return message;
}

Result<std::optional<LinkMessage>> LinkSession::takeFrame(std::uint8_t type, std::string_view frame)
{
    const std::string_view covered = frame.substr(0, frame.size() - macBytes);
    const std::string_view mac = frame.substr(covered.size());
    const WireKey key = peer_ ? receiveKey_ : helloKey(fleetKey_, otherSide(side_));
    if (!key.verify(mac, { viewOf(toLittleEndian(received_)), covered }))
        return fail(WireError::BadMac);
    if (peer_)
        ++received_;
    Result<LinkMessage> decoded = decodeLinkPayload(type, covered.substr(frameHeaderBytes));
    if (!decoded) {
        errors_.count(static_cast<WireError>(decoded.error().value()));
        // Without its Hello the link can't go on.
        broken_ = !peer_;
        return decoded.error();
    }
    const auto* hello = std::get_if<Hello>(&decoded.value());
    if (peer_ && hello)
        return fail(WireError::UnexpectedHello);
    if (!peer_ && !hello)
        return fail(WireError::NotReady);
    if (hello)
        openWith(*hello);
    return std::optional(std::move(decoded.value()));
}

void LinkSession::openWith(const Hello& peer)
{
    peer_ = peer;
    const bool initiator = side_ == Side::Initiator;
    const std::string_view first = viewOfNonce(initiator ? self_.nonce_ : peer.nonce_);
    const std::string_view second = viewOfNonce(initiator ? peer.nonce_ : self_.nonce_);
    const WireKey toAcceptor = fleetKey_.derive({ frameUse, first, second, towardsAcceptor });
    const WireKey toInitiator = fleetKey_.derive({ frameUse, first, second, towardsInitiator });
    sendKey_ = initiator ? toAcceptor : toInitiator;
    receiveKey_ = initiator ? toInitiator : toAcceptor;
}

Result<std::optional<LinkMessage>> LinkSession::fail(WireError error)
{
    broken_ = true;
    buffer_.clear();
    start_ = 0;
    return errors_.count(error);
}

void LinkSession::discard(std::size_t bytes)
{
    if (broken_)
        return;
    start_ += bytes;
    if (start_ == buffer_.size()) {
        buffer_.clear();
        start_ = 0;
    } else if (start_ >= compactBytes) {
        buffer_.erase(0, start_);
        start_ = 0;
    }
}

} // namespace jj
