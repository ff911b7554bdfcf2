// Splits an engine's stream of server-sent events into complete events.
//
// Example:
//   SseParser parser;
//   SseSpan span = parser.Feed(bytes);
//   caller->Write(span.m_events);       // whole events only
//   tokens += span.m_tokens;

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace briarglade {

// The complete events found in the stream by one call of Feed().
struct SseSpan
{
  // The bytes of these events, valid until the next call.
  std::string_view m_events;
  // Number of events that contain a token. Comments and the end marker don't.
  uint32_t m_tokens = 0;
  // The end marker has arrived: the stream is complete.
  bool m_ended = false;
  // The stream is invalid: an event is too long, or data follow the end marker.
  bool m_broken = false;
};

class SseParser
{
public:
  // Parses the next piece of the stream and returns the events that it
  // completed.
  SseSpan Feed(std::string_view aBytes);

private:
  // Processes the complete events and returns the number of their bytes.
  size_t Scan(std::string_view aBytes, SseSpan& aSpan);
  void ScanEvent(std::string_view aEvent, SseSpan& aSpan);

  // The beginning of an incomplete event.
  std::string m_partial;
  // Backing storage of the last returned events if they arrived in several
  // pieces.
  std::string m_joined;
  bool m_ended = false;
  bool m_broken = false;
};

} // namespace briarglade
