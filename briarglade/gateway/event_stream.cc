// Splits a byte stream into complete events and checks that their ids increase.

#include "briarglade/gateway/event_stream.h"

#include <algorithm>
#include <utility>

namespace briarglade {

namespace {

// A longer event without an end is treated as a broken stream.
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

// Returns the number in the event's id line, or nullopt if there is none.
std::optional<uint64_t> FindId(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  size_t at = 0;
  while (at < aEvent.size()) {
    const size_t end = std::min(aEvent.find('\n', at), aEvent.size());
    std::string_view line = aEvent.substr(at, end - at);
    at = end + 1;
    if (line.substr(0, kField.size()) != kField) {
      continue;
    }
    uint64_t id = 0;
    bool hasDigit = false;
    for (const char character : line.substr(kField.size())) {
      if (character >= '0' && character <= '9') {
        id = id * 10 + static_cast<uint64_t>(character - '0');
        hasDigit = true;
      }
    }
    if (hasDigit) {
      return id;
    }
  }
  return std::nullopt;
}

} // namespace

bool EventStream::AcceptEvent(std::string_view aEvent)
{
  const std::optional<uint64_t> id = FindId(aEvent);
  if (!id) {
    return true; // a comment or an event without an id
  }
  if (m_lastEvent && *id <= *m_lastEvent) {
    return false;
  }
  m_lastEvent = id;
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
