// Tests of whole events and their ids.

#include "briarglade/gateway/event_stream.h"

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
    CHECK(stream.LastEvent() == "3");
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
  CHECK(stream.LastEvent() == "1");
}

TEST_CASE("an id that doesn't rise breaks the stream")
{
  EventStream resumed("7", ResumedBy::Node);
  const std::string bytes = Event(8) + Event(8);
  const EventSpan span = resumed.Feed(bytes);
  CHECK(span.m_events == Event(8));
  CHECK(span.m_isBroken);
  EventStream repeated("7", ResumedBy::Node);
  CHECK(repeated.Feed(Event(7)).m_isBroken);
}

TEST_CASE("an event without an id is passed on and changes nothing")
{
  EventStream stream("4", ResumedBy::Node);
  CHECK(stream.Feed(": keep-alive\n\n").m_count == 1);
  CHECK(stream.LastEvent() == "4");
}

TEST_CASE("only digits are an id, and one too large for 64 bits is none")
{
  struct Row
  {
    const char* m_id;
    std::optional<std::string> m_expected;
  };
  const Row rows[] = {
    { "7", "7" },
    { " 7 \r", "7" },
    { "18446744073709551615", "18446744073709551615" },
    // The next server gets the id as this one wrote it.
    { "00000000000000000007", "00000000000000000007" },
    { "000000000000000000007", std::nullopt },
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
  for (const ResumedBy by : { ResumedBy::Caller, ResumedBy::Node }) {
    EventStream withoutId("4", by);
    const std::string bytes = ": hello\n\ndata: x\n\n";
    const EventSpan span = withoutId.Feed(bytes);
    CHECK(span.m_isBroken);
    CHECK(span.m_events == ": hello\n\n");
    EventStream withId("4", by);
    CHECK_FALSE(withId.Feed(Event(5) + "data: x\n\n").m_isBroken);
    CHECK_FALSE(withId.IsResumable());
    CHECK_FALSE(withId.Feed(Event(6)).m_isBroken);
    CHECK(withId.IsResumable());
  }
}

TEST_CASE(
  "ORDER: ids that can't be compared continue what a caller resumes, but "
  "not what the node resumes")
{
  struct Row
  {
    const char* m_last;
    const char* m_next;
    bool m_mayCallerContinue;
    bool m_mayNodeContinue;
  };
  const Row rows[] = {
    { "18446744073709551614", "18446744073709551615", true, true },
    { "18446744073709551615", "18446744073709551616", true, false },
    { "18446744073709551615", "18446744073709551615", false, false },
    { "18446744073709551615", "1", false, false },
    { "7", "8/b", true, false },
    { "7", "", false, false },
    // Nothing is known to compare with; the node never resumes behind these.
    { "7/b", "7/c", true, true },
    { "7/b", "1", true, true },
    { "99999999999999999999", "1", true, true },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.m_last));
    CAPTURE(std::string(row.m_next));
    const std::string event =
      std::string("id: ") + row.m_next + "\ndata: x\n\n";
    EventStream forCaller(row.m_last, ResumedBy::Caller);
    CHECK(forCaller.IsResumable());
    CHECK(forCaller.Feed(event).m_isBroken == !row.m_mayCallerContinue);
    EventStream forNode(row.m_last, ResumedBy::Node);
    CHECK(forNode.Feed(event).m_isBroken == !row.m_mayNodeContinue);
  }
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
