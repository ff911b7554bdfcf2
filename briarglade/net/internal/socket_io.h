// What both ends of an HTTP connection share on a bufferevent's socket.

#pragma once

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

struct bufferevent;

namespace briarglade::internal {

// Turns off delays of small writes, and makes the kernel report a peer that
// has silently gone: by probes while the connection is quiet, and by unsent
// data that stays unacknowledged.
void PrepareSocket(int aSocket);

// Hands the pieces to the kernel at once, without a turn of the loop, unless
// earlier bytes wait. What the kernel doesn't take waits in the connection's
// buffer. Returns the number of bytes that the kernel took.
size_t SendNow(bufferevent* aConnection,
               std::initializer_list<std::string_view> aPieces);

// Tells whether the peer has closed or reset the connection and everything that
// it sent before has been read.
bool HasPeerLeft(int aSocket);

// Returns whether bytes have come that were not read from the socket yet.
bool HasUnreadBytes(int aSocket);

// Returns the IPv4 address of the other end; empty if it is not known.
std::string PeerAddress(int aSocket);

// Returns the number of bytes that wait to be sent.
size_t UnsentBytes(bufferevent* aConnection);

} // namespace briarglade::internal
