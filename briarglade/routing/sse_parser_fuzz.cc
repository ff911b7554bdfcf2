// Fuzz target: an engine's event stream. The first byte says in what pieces the
// rest arrives; the pieces must not matter.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "briarglade/routing/sse_parser.h"

namespace briarglade {
namespace {

// What a stream came to, up to the point where it ended or broke.
struct StreamSummary
{
  std::string m_events;
  uint32_t m_tokens = 0;
  bool m_ended = false;
  bool m_broken = false;
};

StreamSummary FeedInPieces(std::string_view aStream, size_t aPiece)
{
  SseParser parser;
  StreamSummary summary;
  for (size_t at = 0; at < aStream.size() && !summary.m_broken; at += aPiece) {
    const SseSpan span = parser.Feed(aStream.substr(at, aPiece));
    summary.m_events.append(span.m_events);
    summary.m_tokens += span.m_tokens;
    summary.m_ended = span.m_ended;
    summary.m_broken = span.m_broken;
  }
  return summary;
}

void Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
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
  Require(whole.m_broken == pieces.m_broken);
  if (!whole.m_broken) {
    Require(whole.m_ended == pieces.m_ended);
    Require(whole.m_tokens == pieces.m_tokens);
    Require(whole.m_events == pieces.m_events);
    Require(stream.substr(0, whole.m_events.size()) == whole.m_events);
  }
  return 0;
}
