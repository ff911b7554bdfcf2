// Socket options and writes without a turn of the loop.

#include "briarglade/net/internal/socket_io.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace briarglade::internal {

namespace {

constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;
// How long sent bytes may stay unacknowledged.
constexpr unsigned kUserTimeoutMillis = 3'000;
constexpr size_t kMaxPieces = 8;

template<typename Value>
void SetOption(int aSocket, int aLevel, int aName, Value aValue)
{
  // An option that the system refuses costs only the time until a silent peer
  // is noticed.
  setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

void PrepareSocket(int aSocket)
{
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMillis);
}

size_t SendNow(bufferevent* aConnection,
               std::initializer_list<std::string_view> aPieces)
{
  size_t sent = 0;
  if (UnsentBytes(aConnection) == 0 && aPieces.size() <= kMaxPieces) {
    std::array<iovec, kMaxPieces> pieces{};
    size_t count = 0;
    for (const std::string_view piece : aPieces) {
      pieces[count++] = iovec{ const_cast<char*>(piece.data()), piece.size() };
    }
    msghdr message{};
    message.msg_iov = pieces.data();
    message.msg_iovlen = count;
    const ssize_t result = sendmsg(
      bufferevent_getfd(aConnection), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    // A broken connection is noticed when the buffered rest is written.
    sent = result > 0 ? static_cast<size_t>(result) : 0;
  }
  size_t skip = sent;
  for (const std::string_view piece : aPieces) {
    const size_t skipped = std::min(skip, piece.size());
    skip -= skipped;
    if (skipped < piece.size()) {
      bufferevent_write(
        aConnection, piece.data() + skipped, piece.size() - skipped);
    }
  }
  return sent;
}

bool HasPeerLeft(int aSocket)
{
  char byte = 0;
  const ssize_t got =
    recv(aSocket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  const bool isQuiet = errno == EAGAIN || errno == EWOULDBLOCK;
  return got == 0 || (got < 0 && !isQuiet && errno != EINTR);
}

bool HasUnreadBytes(int aSocket)
{
  char byte = 0;
  return recv(aSocket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

std::string PeerAddress(int aSocket)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  char text[INET_ADDRSTRLEN] = "";
  const bool isKnown =
    getpeername(aSocket, reinterpret_cast<sockaddr*>(&address), &length) == 0 &&
    address.sin_family == AF_INET &&
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text)) != nullptr;
  return isKnown ? std::string(text) : std::string();
}

size_t UnsentBytes(bufferevent* aConnection)
{
  return evbuffer_get_length(bufferevent_get_output(aConnection));
}

} // namespace briarglade::internal
