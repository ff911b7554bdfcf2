// Splits an engine's server-sent event stream into whole events.
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

// The whole events that one piece of the stream has completed.
struct SseSpan
{
  // Their bytes, valid until the next call.
  std::string_view m_events;
  // Events that carry a token; comments and the end marker don't.
  uint32_t m_tokens = 0;
  // The end marker has come: the stream is whole.
  bool m_ended = false;
  // The stream broke its format: an event is too long, or data follow the end.
  bool m_broken = false;
};

class SseParser
{
public:
  // Takes the next piece of the stream and returns what it completed.
  SseSpan Feed(std::string_view aBytes);

private:
  // Takes in the whole events and returns the number of their bytes.
  size_t Scan(std::string_view aBytes, SseSpan& aSpan);
  void ScanEvent(std::string_view aEvent, SseSpan& aSpan);

  // The beginning of an event that isn't whole yet.
  std::string m_partial;
  // The events handed out last, where they didn't come in one piece.
  std::string m_joined;
  bool m_ended = false;
  bool m_broken = false;
};

} // namespace briarglade
