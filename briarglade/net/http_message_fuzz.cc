// Fuzz target: a request's head and body as a stranger may send them. The first
// byte says in what pieces they arrive; the pieces must not matter.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "briarglade/net/internal/http_message_parser.h"

namespace briarglade::internal {
namespace {

constexpr HttpParseLimits kLimits{ 1'024, 1'024 };

// What the bytes came to.
struct MessageSummary
{
  bool m_isDone = false;
  bool m_isMalformed = false;
  size_t m_taken = 0;
  std::string m_target;
  std::string m_headers;
  std::string m_body;
};

MessageSummary ParseInPieces(std::string_view aBytes, size_t aPiece)
{
  HttpMessageParser<true> parser(kLimits);
  MessageSummary summary;
  const auto sink = [&](std::string_view aData) {
    summary.m_body.append(aData);
  };
  std::string pending;
  for (size_t at = 0; at < aBytes.size(); at += aPiece) {
    pending.append(aBytes.substr(at, aPiece));
    const size_t taken = parser.Feed(pending, sink);
    pending.erase(0, taken);
    summary.m_taken += taken;
    if (parser.IsDone() || parser.Failure() != HttpParseFailure::None) {
      break;
    }
  }
  summary.m_isDone = parser.IsDone();
  summary.m_isMalformed = parser.Failure() != HttpParseFailure::None;
  summary.m_target = parser.Target();
  for (const HttpHeader& header : parser.Headers()) {
    summary.m_headers += header.m_name + ": " + header.m_value + "\n";
  }
  return summary;
}

void Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

// What must hold of any message that was taken.
void CheckMessage(const MessageSummary& aMessage)
{
  Require(aMessage.m_body.size() <= kLimits.m_maxBodyBytes);
  Require(aMessage.m_target.find_first_of(std::string("\r\n\0", 3)) ==
          std::string::npos);
  Require(aMessage.m_headers.find_first_of(std::string("\r\0", 2)) ==
          std::string::npos);
}

} // namespace
} // namespace briarglade::internal

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace briarglade::internal;
  if (aSize == 0) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(aData) + 1,
                               aSize - 1);
  const size_t piece = std::max<size_t>(1, aData[0]);
  const MessageSummary whole = ParseInPieces(bytes, bytes.size() + 1);
  const MessageSummary pieces = ParseInPieces(bytes, piece);
  // A message that isn't whole may be found wrong sooner or later.
  const bool isTaken = whole.m_isDone && !whole.m_isMalformed;
  Require(isTaken == (pieces.m_isDone && !pieces.m_isMalformed));
  if (isTaken) {
    Require(whole.m_taken == pieces.m_taken);
    Require(whole.m_target == pieces.m_target);
    Require(whole.m_headers == pieces.m_headers);
    Require(whole.m_body == pieces.m_body);
    CheckMessage(whole);
  }
  return 0;
}
