// Splits a server's event stream into complete events and checks that their ids
// increase.
//
// Example:
//   EventStream stream(lastEvent, ResumedBy::Node);
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

// Who has chosen the event behind which a stream continues.
enum class ResumedBy
{
  // The caller, who has that event from an earlier answer.
  Caller,
  // This node, which has forwarded that event within this answer.
  Node
};

// Parser of one event stream. Ids are compared if they are decimal numbers of
// 64 bits with at most 20 digits; any other id is forwarded without a check.
class EventStream
{
public:
  EventStream() = default;
  // The stream continues after the event with this id, if one is given. If the
  // node resumes a stream, the first event must have a greater id. If a caller
  // does, ids that can't be compared are accepted: the caller has no other
  // source of the stream, and a check would make it unusable.
  EventStream(std::optional<std::string> aLastEvent, ResumedBy aResumedBy);

  // Consumes the next chunk of the stream and returns the events that it
  // completed.
  EventSpan Feed(std::string_view aBytes);

  // Returns the id of the last complete event that had one that can be
  // compared, as the server wrote it, or else the id given to the constructor.
  const std::optional<std::string>& LastEvent() const { return m_lastEvent; }
  // Returns whether another server can continue behind the events returned so
  // far, that is, whether the last one that is no comment had an id that can be
  // compared.
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

  std::optional<std::string> m_lastEvent;
  // The number that m_lastEvent is, if it can be compared.
  std::optional<uint64_t> m_lastNumber;
  ResumedBy m_resumedBy = ResumedBy::Caller;
  // Whether the stream continues behind a number and has had no id yet.
  bool m_awaitsFirstId = false;
  bool m_isPositionKnown = true;
  // The beginning of an incomplete event.
  std::string m_partial;
  // Storage for the events returned last, if they span several chunks.
  std::string m_joined;
};

} // namespace briarglade
