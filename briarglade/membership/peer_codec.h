// Peer messages as bytes: packed Cap'n Proto.
//
// Example:
//   std::string bytes = EncodePeerMessage(message);
//   Result<PeerMessage> again = DecodePeerMessage(bytes);

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "briarglade/base/result.h"
#include "briarglade/membership/peer_message.h"

namespace briarglade {

// The longest message, as bytes and unpacked.
constexpr size_t kMaxPeerMessageBytes = 8 * 1024 * 1024;

// Returns the bytes of a message.
std::string EncodePeerMessage(const PeerMessage& aMessage);

// Reads a message from untrusted bytes. Returns MalformedRequest if they aren't
// exactly one message within the limits.
Result<PeerMessage> DecodePeerMessage(std::string_view aBytes);

} // namespace briarglade
