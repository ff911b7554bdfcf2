// Tests of whole events and their ids.

#include "briarglade/gateway/event_stream.h"

#include <cstdint>
#include <doctest/doctest.h>
#include <optional>
#include <string>

namespace briarglade {
namespace {

std::string Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: text\n\n";
}

TEST_CASE("only whole events come out, however the bytes are cut")
{
  const std::string all = Event(1) + Event(2) + "id: 3\r\ndata: x\r\n\r\n";
  for (size_t cut = 0; cut <= all.size(); ++cut) {
    CAPTURE(cut);
    EventStream stream;
    std::string out(stream.Feed(all.substr(0, cut)).m_events);
    out += stream.Feed(all.substr(cut)).m_events;
    CHECK(out == all);
    CHECK(stream.LastEvent() == 3);
    CHECK_FALSE(stream.IsWithinEvent());
  }
}

TEST_CASE("the beginning of an event is held back")
{
  EventStream stream;
  const std::string bytes = Event(1) + "id: 2\nda";
  const EventSpan span = stream.Feed(bytes);
  CHECK(span.m_events == Event(1));
  CHECK(span.m_count == 1);
  CHECK(stream.IsWithinEvent());
  CHECK(stream.LastEvent() == 1);
}

TEST_CASE("an id that doesn't rise breaks the stream")
{
  EventStream resumed(7);
  const std::string bytes = Event(8) + Event(8);
  const EventSpan span = resumed.Feed(bytes);
  CHECK(span.m_events == Event(8));
  CHECK(span.m_isBroken);
  EventStream repeated(7);
  CHECK(repeated.Feed(Event(7)).m_isBroken);
}

TEST_CASE("an event without an id is passed on and changes nothing")
{
  EventStream stream(4);
  CHECK(stream.Feed(": keep-alive\n\n").m_count == 1);
  CHECK(stream.LastEvent() == 4);
}

TEST_CASE("only digits are an id, and one too large for 64 bits is none")
{
  struct Row
  {
    const char* m_id;
    std::optional<uint64_t> m_expected;
  };
  const Row rows[] = {
    { "7", 7 },
    { " 7 \r", 7 },
    { "18446744073709551615", UINT64_MAX },
    { "18446744073709551616", std::nullopt },
    { "1a2", std::nullopt },
    { "-5", std::nullopt },
    { "1.5", std::nullopt },
    { "", std::nullopt },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.m_id));
    EventStream stream;
    const std::string event = std::string("id:") + row.m_id + "\ndata: x\n\n";
    const EventSpan span = stream.Feed(event);
    CHECK(span.m_events == event);
    CHECK_FALSE(span.m_isBroken);
    CHECK(stream.LastEvent() == row.m_expected);
    CHECK(stream.IsResumable() == row.m_expected.has_value());
  }
}

TEST_CASE("a continued stream begins with an id, behind comments at most")
{
  EventStream withoutId(4);
  const std::string bytes = ": hello\n\ndata: x\n\n";
  const EventSpan span = withoutId.Feed(bytes);
  CHECK(span.m_isBroken);
  CHECK(span.m_events == ": hello\n\n");
  EventStream withId(4);
  CHECK_FALSE(withId.Feed(Event(5) + "data: x\n\n").m_isBroken);
  CHECK_FALSE(withId.IsResumable());
  CHECK_FALSE(withId.Feed(Event(6)).m_isBroken);
  CHECK(withId.IsResumable());
}

TEST_CASE("an event that is too long breaks the stream, however it arrives")
{
  const std::string longEvent =
    "id: 1\ndata: " + std::string(2 * 1024 * 1024, 'x') + "\n\n";
  EventStream whole;
  CHECK(whole.Feed(longEvent).m_isBroken);
  EventStream pieces;
  const size_t half = longEvent.size() / 2;
  const bool isBroken = pieces.Feed(longEvent.substr(0, half)).m_isBroken ||
                        pieces.Feed(longEvent.substr(half)).m_isBroken;
  CHECK(isBroken);
}

} // namespace
} // namespace briarglade
