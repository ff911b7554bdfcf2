// Splits a server's event stream into complete events and checks that their ids
// increase.
//
// Example:
//   EventStream stream(lastEvent);
//   EventSpan span = stream.Feed(bytes);
//   caller->Write(span.m_events);     // complete events only

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarglade {

// The complete events that one chunk of the stream has produced.
struct EventSpan
{
  // The bytes of the events, valid until the next call of Feed().
  std::string_view m_events;
  uint32_t m_count = 0;
  // Whether an id is not greater than the previous one, an event is too long,
  // or a continued stream doesn't begin with an id.
  bool m_isBroken = false;
};

// Parser of one event stream.
class EventStream
{
public:
  // If aLastEvent is given, the stream continues after the event with this id.
  explicit EventStream(std::optional<uint64_t> aLastEvent = std::nullopt)
    : m_lastEvent(aLastEvent)
    , m_awaitsFirstId(aLastEvent.has_value())
  {
  }

  // Consumes the next chunk of the stream and returns the events that it
  // completed.
  EventSpan Feed(std::string_view aBytes);

  // Returns the id of the last complete event that had one, or else the id
  // given to the constructor.
  std::optional<uint64_t> LastEvent() const { return m_lastEvent; }
  // Returns whether another server can continue behind the events returned so
  // far, that is, whether the last one that is no comment had a numeric id.
  bool IsResumable() const { return m_isPositionKnown; }
  // Returns whether an incomplete event is buffered.
  bool IsWithinEvent() const { return !m_partial.empty(); }
  // Returns the bytes that the stream keeps in memory.
  size_t HeldBytes() const
  {
    return m_partial.capacity() + m_joined.capacity();
  }

private:
  bool AcceptEvent(std::string_view aEvent);

  std::optional<uint64_t> m_lastEvent;
  // Whether the stream continues an earlier one and has had no id yet.
  bool m_awaitsFirstId;
  bool m_isPositionKnown = true;
  // The beginning of an incomplete event.
  std::string m_partial;
  // Storage for the events returned last, if they span several chunks.
  std::string m_joined;
};

} // namespace briarglade
