// One end of a TCP link between two nodes, without the socket: bytes in, messages out, and back.
//
// Frame: length of the payload (4 bytes, little endian), protocol version, type, two zero bytes, payload, 16 bytes of
// authentication code. Both sides first send a Hello under the fleet's key; each contributes a fresh nonce, and from both
// nonces comes a key for each direction. Every later code covers the number of its frame in its direction. So a stranger
// is refused at the first frame, and frames of another link, or left out, repeated or reordered ones, are refused as BadMac.
//
//     auto session = LinkSession::create(key, LinkSession::Side::Initiator, hello);
//     socket.write(session.value().hello());
//     session.value().feed(bytesFromSocket);
//     for (;;) {
//         Result<std::optional<LinkMessage>> message = session.value().next();
//         if (!message) {
//             if (session.value().isBroken()) close(); // else the frame was dropped and counted, the link goes on
//             continue or stop;
//         }
//         if (!*message) break; // needs more bytes
//         handle(**message);
//     }
//
// A frame that is authentic but doesn't decode, or whose type is unknown, is dropped and the link goes on: a newer peer may say
// more than this version understands. Any other error breaks the session: its bytes can't be trusted to find the next frame.
#pragma once

#include "base/Result.h"
#include "wire/Error.h"
#include "wire/Key.h"
#include "wire/LinkMessages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jj {

constexpr std::size_t frameHeaderBytes = 8;
// Before the handshake is complete nothing but a Hello is taken, so a stranger can make a node hold only this much.
constexpr std::size_t maxHelloPayloadBytes = 128;

class LinkSession {
public:
    enum class Side : std::uint8_t { Initiator,
        Acceptor };

    // `maxPayload` bounds a frame's payload in both directions. A zero nonce in `self` is replaced by a random one.
    static Result<LinkSession> create(const WireKey& key, Side side, Hello self, std::size_t maxPayload = maxBodyBytes + maxPathBytes + 4096);

    // The first bytes that this side sends; the same at each call.
    const std::string& hello() const { return helloFrame_; }

    // One frame. Errors: NotReady before the peer's Hello was taken, Oversized, UnexpectedHello.
    Result<std::string> encode(const LinkMessage& message);

    void feed(std::string_view bytes);

    // The next message, or none when it needs more bytes. The first is the peer's Hello.
    Result<std::optional<LinkMessage>> next();

    bool isOpen() const { return peer_.has_value() && !broken_; }
    bool isBroken() const { return broken_; }
    // The peer's Hello; only when isOpen().
    const Hello& peer() const { return *peer_; }
    const WireErrorCounts& errors() const { return errors_; }
    // Bytes fed and not yet given out.
    std::size_t bufferedBytes() const { return buffer_.size() - start_; }

private:
    LinkSession(const WireKey& key, Side side, const Hello& self, std::size_t maxPayload);

    Result<std::string> frameOf(const LinkMessage& message, const WireKey& key, std::uint64_t number) const;
    Result<std::optional<LinkMessage>> fail(WireError error);
    Result<std::optional<LinkMessage>> takeFrame(std::uint8_t type, std::string_view frame);
    void openWith(const Hello& peer);
    void discard(std::size_t bytes);

    WireKey fleetKey_;
    Side side_;
    Hello self_;
    std::size_t maxPayload_;
    std::string helloFrame_;

    // Set together, when the peer's Hello is taken.
    std::optional<Hello> peer_;
    WireKey sendKey_;
    WireKey receiveKey_;

    // Number of the next frame in each direction; a Hello isn't counted.
    std::uint64_t sent_ = 0;
    std::uint64_t received_ = 0;

    // Invariant: start_ <= buffer_.size(); the bytes before start_ were given out.
    std::string buffer_;
    std::size_t start_ = 0;
    bool broken_ = false;
    WireErrorCounts errors_;
};

} // namespace jj
