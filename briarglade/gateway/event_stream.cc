// Splits a byte stream into complete events and checks that their ids increase.

#include "briarglade/gateway/event_stream.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

namespace briarglade {

namespace {

// A longer event is treated as a broken stream.
constexpr size_t kMaxEventBytes = 1024 * 1024;

// Returns the length in bytes of the first complete event, including the empty
// line that ends it, or zero if there is none. Lines end with LF or CRLF.
size_t FirstEventLength(std::string_view aBytes)
{
  size_t at = 0;
  while (true) {
    const size_t lineFeed = aBytes.find('\n', at);
    if (lineFeed == std::string_view::npos || lineFeed + 1 >= aBytes.size()) {
      return 0;
    }
    if (aBytes[lineFeed + 1] == '\n') {
      return lineFeed + 2;
    }
    if (aBytes[lineFeed + 1] == '\r' && lineFeed + 2 < aBytes.size() &&
        aBytes[lineFeed + 2] == '\n') {
      return lineFeed + 3;
    }
    at = lineFeed + 1;
  }
}

// Removes the spaces around a field's value, and the carriage return behind it.
std::string_view Trim(std::string_view aText)
{
  constexpr std::string_view kSpace = " \t\r";
  aText.remove_prefix(std::min(aText.find_first_not_of(kSpace), aText.size()));
  return aText.substr(0, aText.find_last_not_of(kSpace) + 1);
}

// The digits of the largest number of 64 bits. Bounds the length of the id that
// is sent to the next server if zeros precede the number.
constexpr size_t kMaxIdDigits = 20;

// Returns an id, or nullopt if the text is no unsigned number of 64 bits.
std::optional<uint64_t> ParseId(std::string_view aText)
{
  if (aText.size() > kMaxIdDigits) {
    return std::nullopt;
  }
  uint64_t id = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, id);
  const bool isNumber = !aText.empty() && error == std::errc() && stop == end;
  return isNumber ? std::optional<uint64_t>(id) : std::nullopt;
}

// What an event says of its position in the stream.
struct EventPosition
{
  // The id as written; empty if there is none.
  std::string_view m_id;
  // The number that the id is, if it can be compared.
  std::optional<uint64_t> m_number;
  // Whether it has lines other than comments.
  bool m_hasContent = false;
};

EventPosition FindPosition(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  EventPosition position;
  size_t at = 0;
  while (at < aEvent.size()) {
    const size_t end = std::min(aEvent.find('\n', at), aEvent.size());
    const std::string_view line = aEvent.substr(at, end - at);
    at = end + 1;
    const bool isComment = !line.empty() && line.front() == ':';
    position.m_hasContent |= !isComment && !Trim(line).empty();
    if (line.substr(0, kField.size()) == kField) {
      position.m_id = Trim(line.substr(kField.size()));
      position.m_number = ParseId(position.m_id);
    }
  }
  return position;
}

} // namespace

EventStream::EventStream(std::optional<std::string> aLastEvent,
                         ResumedBy aResumedBy)
  : m_lastEvent(std::move(aLastEvent))
  , m_lastNumber(m_lastEvent ? ParseId(*m_lastEvent) : std::nullopt)
  , m_resumedBy(aResumedBy)
  , m_awaitsFirstId(m_lastNumber.has_value())
{
}

bool EventStream::AcceptEvent(std::string_view aEvent)
{
  if (aEvent.size() > kMaxEventBytes) {
    return false;
  }
  const EventPosition position = FindPosition(aEvent);
  if (!position.m_hasContent) {
    return true; // a comment
  }
  if (!position.m_number) {
    m_isPositionKnown = false;
    const bool isFirstId =
      !position.m_id.empty() && m_resumedBy == ResumedBy::Caller;
    m_awaitsFirstId = m_awaitsFirstId && !isFirstId;
    return !m_awaitsFirstId;
  }
  if (m_lastNumber && *position.m_number <= *m_lastNumber) {
    return false;
  }
  m_lastEvent = std::string(position.m_id);
  m_lastNumber = position.m_number;
  m_isPositionKnown = true;
  m_awaitsFirstId = false;
  return true;
}

EventSpan EventStream::Feed(std::string_view aBytes)
{
  EventSpan span;
  const bool hasPartial = !m_partial.empty();
  if (hasPartial) {
    m_partial.append(aBytes);
    m_joined = std::move(m_partial);
    m_partial.clear();
  }
  const std::string_view bytes =
    hasPartial ? std::string_view(m_joined) : aBytes;
  size_t completeBytes = 0;
  while (true) {
    const size_t length = FirstEventLength(bytes.substr(completeBytes));
    if (length == 0) {
      break;
    }
    if (!AcceptEvent(bytes.substr(completeBytes, length))) {
      span.m_isBroken = true;
      break;
    }
    completeBytes += length;
    ++span.m_count;
  }
  span.m_events = bytes.substr(0, completeBytes);
  m_partial.assign(bytes.substr(completeBytes));
  if (m_partial.size() > kMaxEventBytes) {
    span.m_isBroken = true;
  }
  return span;
}

} // namespace briarglade
