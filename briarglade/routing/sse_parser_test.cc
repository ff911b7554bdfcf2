// Tests of the server-sent event parser.

#include "briarglade/routing/sse_parser.h"

#include <doctest/doctest.h>
#include <string>

namespace briarglade {
namespace {

const std::string kStream =
  "data: {\"t\":1}\n\n: comment\n\ndata: {\"t\":2}\n\n"
  "data: [DONE]\n\n";

TEST_CASE("any split of a stream gives the same events, tokens and end")
{
  for (size_t piece = 1; piece <= kStream.size(); ++piece) {
    SseParser parser;
    std::string events;
    uint32_t tokens = 0;
    bool ended = false;
    for (size_t at = 0; at < kStream.size(); at += piece) {
      const SseSpan span =
        parser.Feed(std::string_view(kStream).substr(at, piece));
      events.append(span.m_events);
      tokens += span.m_tokens;
      ended = span.m_ended;
      REQUIRE_FALSE(span.m_broken);
    }
    CHECK(events == kStream);
    CHECK(tokens == 2);
    CHECK(ended);
  }
}

TEST_CASE("a stream without the end marker has not ended")
{
  SseParser parser;
  CHECK_FALSE(parser.Feed("data: x\n\ndata: [DO").m_ended);
}

TEST_CASE("data after the end marker break the stream")
{
  SseParser first;
  CHECK(first.Feed(kStream + "data: x\n\n").m_broken);
  SseParser second;
  CHECK_FALSE(second.Feed(kStream).m_broken);
  CHECK(second.Feed("data: x\n\n").m_broken);
}

TEST_CASE("extra blank lines between events do no harm")
{
  const std::string stream = "\n\n\ndata: x\n\n\n\n\ndata: y\n\n\n";
  for (size_t piece = 1; piece <= stream.size(); ++piece) {
    SseParser parser;
    uint32_t tokens = 0;
    for (size_t at = 0; at < stream.size(); at += piece) {
      tokens +=
        parser.Feed(std::string_view(stream).substr(at, piece)).m_tokens;
    }
    CHECK(tokens == 2);
  }
}

TEST_CASE("an event without end is bounded")
{
  SseParser parser;
  bool broken = false;
  for (int i = 0; i < 1000 && !broken; ++i) {
    broken = parser.Feed(std::string(1024, 'x')).m_broken;
  }
  CHECK(broken);
}

} // namespace
} // namespace briarglade
