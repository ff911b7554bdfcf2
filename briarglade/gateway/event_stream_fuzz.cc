// Fuzz target: a server's stream of events. The first byte says in what pieces
// it arrives; the pieces must not matter, and ids must rise.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>

#include "briarglade/gateway/event_stream.h"

namespace briarglade {
namespace {

// What a stream came to, up to the point where it broke.
struct StreamSummary
{
  std::string m_events;
  uint32_t m_count = 0;
  bool m_isBroken = false;
  std::optional<std::string> m_lastEvent;
};

void Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

// Returns the number that an id is; LastEvent() has no other ids here.
std::optional<uint64_t> NumberOf(const std::optional<std::string>& aId)
{
  return aId ? std::optional<uint64_t>(std::strtoull(aId->c_str(), nullptr, 10))
             : std::nullopt;
}

StreamSummary FeedInPieces(std::string_view aStream, size_t aPiece)
{
  EventStream stream;
  StreamSummary summary;
  for (size_t at = 0; at < aStream.size() && !summary.m_isBroken;
       at += aPiece) {
    const std::optional<uint64_t> before = NumberOf(stream.LastEvent());
    const EventSpan span = stream.Feed(aStream.substr(at, aPiece));
    Require(!before || *NumberOf(stream.LastEvent()) >= *before);
    summary.m_events.append(span.m_events);
    summary.m_count += span.m_count;
    summary.m_isBroken = span.m_isBroken;
  }
  summary.m_lastEvent = stream.LastEvent();
  return summary;
}

} // namespace
} // namespace briarglade

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace briarglade;
  if (aSize == 0) {
    return 0;
  }
  const std::string_view stream(reinterpret_cast<const char*>(aData) + 1,
                                aSize - 1);
  const size_t piece = std::max<size_t>(1, aData[0]);
  const StreamSummary whole = FeedInPieces(stream, stream.size() + 1);
  const StreamSummary pieces = FeedInPieces(stream, piece);
  Require(whole.m_isBroken == pieces.m_isBroken);
  Require(whole.m_events == pieces.m_events);
  Require(whole.m_count == pieces.m_count);
  Require(whole.m_lastEvent == pieces.m_lastEvent);
  Require(stream.substr(0, whole.m_events.size()) == whole.m_events);
  return 0;
}
