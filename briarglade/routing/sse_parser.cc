// The parser of server-sent events.

#include "briarglade/routing/sse_parser.h"

#include <utility>

namespace briarglade {

namespace {

constexpr size_t kMaxEventBytes = 256 * 1024;
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kEndMarker = "[DONE]";

// Returns the value of a "data:" line without its leading space.
std::string_view DataOf(std::string_view aLine)
{
  std::string_view value = aLine.substr(kDataField.size());
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  return value;
}

} // namespace

SseSpan SseParser::Feed(std::string_view aBytes)
{
  SseSpan span;
  span.m_ended = m_ended;
  if (m_broken || (m_ended && !aBytes.empty())) {
    m_broken = true;
    span.m_broken = true;
    return span;
  }
  std::string_view bytes = aBytes;
  if (!m_partial.empty()) {
    m_joined = std::move(m_partial);
    m_partial.clear();
    m_joined.append(aBytes);
    bytes = m_joined;
  }
  const size_t lastEnd = bytes.rfind(kEventEnd);
  const size_t whole =
    lastEnd == std::string_view::npos ? 0 : lastEnd + kEventEnd.size();
  m_partial.assign(bytes.substr(whole));
  span.m_events = bytes.substr(0, whole);
  Scan(span.m_events, span);
  if (m_partial.size() > kMaxEventBytes || (m_ended && !m_partial.empty())) {
    m_broken = true;
  }
  span.m_ended = m_ended;
  span.m_broken = m_broken;
  return span;
}

void SseParser::Scan(std::string_view aEvents, SseSpan& aSpan)
{
  size_t position = 0;
  while (position < aEvents.size()) {
    if (m_ended) {
      m_broken = true;
      return;
    }
    const size_t end = aEvents.find(kEventEnd, position);
    const std::string_view event = aEvents.substr(position, end - position);
    position = end + kEventEnd.size();
    if (event.substr(0, kDataField.size()) != kDataField) {
      continue;
    }
    if (DataOf(event) == kEndMarker) {
      m_ended = true;
    } else {
      ++aSpan.m_tokens;
    }
  }
}

} // namespace briarglade
