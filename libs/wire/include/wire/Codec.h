// Payload codecs: cereal's portable binary archive, kept behind this header so that nobody else includes cereal.
//
// Decoding never throws and never allocates more than the message's own limits, whatever the bytes. The whole payload must be
// used up, and enumerators must be known; otherwise it is WireError::Malformed. A type number without a message is
// WireError::UnknownType.
#pragma once

#include "base/Result.h"
#include "wire/DatagramMessages.h"
#include "wire/LinkMessages.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jj {

// Appends the payload to `out`. Error: WireError::Oversized when a text or list is over its limit; `out` is as before then.
Result<void> encodePayload(const LinkMessage& message, std::string& out);
Result<void> encodePayload(const DatagramMessage& message, std::string& out);

Result<LinkMessage> decodeLinkPayload(std::uint8_t type, std::string_view payload);
Result<DatagramMessage> decodeDatagramPayload(std::uint8_t type, std::string_view payload);

std::uint8_t wireTypeOf(const LinkMessage& message);
std::uint8_t wireTypeOf(const DatagramMessage& message);

} // namespace jj
