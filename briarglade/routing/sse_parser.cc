// Parser of server-sent events (SSE).

#include "briarglade/routing/sse_parser.h"

#include <algorithm>
#include <utility>

namespace briarglade {

namespace {

constexpr size_t kMaxEventBytes = 256 * 1024;
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kEndMarker = "[DONE]";

// Returns the value of a "data:" line without the optional leading space.
std::string_view DataValue(std::string_view aLine)
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
  const size_t whole = Scan(bytes, span);
  m_partial.assign(bytes.substr(whole));
  span.m_events = bytes.substr(0, whole);
  if (m_partial.size() > kMaxEventBytes || (m_ended && !m_partial.empty())) {
    m_broken = true;
  }
  span.m_ended = m_ended;
  span.m_broken = m_broken;
  return span;
}

size_t SseParser::Scan(std::string_view aBytes, SseSpan& aSpan)
{
  size_t position = 0;
  size_t end = aBytes.find(kEventEnd);
  while (end != std::string_view::npos && !m_broken) {
    ScanEvent(aBytes.substr(position, end - position), aSpan);
    position = end + kEventEnd.size();
    end = aBytes.find(kEventEnd, position);
  }
  return position;
}

void SseParser::ScanEvent(std::string_view aEvent, SseSpan& aSpan)
{
  if (m_ended) {
    m_broken = true;
    return;
  }
  // Events may be separated by more than one blank line.
  aEvent.remove_prefix(std::min(aEvent.find_first_not_of('\n'), aEvent.size()));
  if (aEvent.substr(0, kDataField.size()) != kDataField) {
    return;
  }
  if (DataValue(aEvent) == kEndMarker) {
    m_ended = true;
  } else {
    ++aSpan.m_tokens;
  }
}

} // namespace briarglade
