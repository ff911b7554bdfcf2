// The kinds of values that fleet files hold: how each is parsed, and the words
// for what is allowed.
//
// Example:
//   const ValueType<Millis> duration = Duration();
//   std::optional<Millis> warmUp = duration.m_parse("60s");

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/millis.h"

namespace briarglade {

template<typename T>
struct ValueType
{
  // What is allowed, for a person to read.
  std::string m_allowed;
  // Returns the value, or nothing if the text isn't allowed.
  std::function<std::optional<T>(const std::string&)> m_parse;
};

// An account's share: a percentage of the whole, or a plain weight.
struct Share
{
  uint32_t m_amount = 0;
  bool m_isPercent = false;
};

// A whole number between two bounds, which are allowed.
ValueType<uint32_t> Count(uint32_t aLowest, uint32_t aHighest);
// A whole number that may be negative.
ValueType<int32_t> Priority();
// A time with its unit: ms, s, min or h.
ValueType<Millis> Duration();
// A size with its unit: GB or TB. In gigabytes.
ValueType<uint32_t> Gigabytes();
// A rate with its unit: GB/s. In gigabytes a second.
ValueType<uint32_t> GigabytesPerSecond();
ValueType<bool> Flag();
ValueType<Share> ShareValue();
// A name: letters, digits, '-' and '_'.
ValueType<std::string> Name();
// A name, or a range of names such as "perth-a-1-[01-08]".
ValueType<std::vector<std::string>> NameRange();
// A SHA-256 in lower-case hex.
ValueType<std::string> KeyHash();
// An IPv4 number with a port.
ValueType<Endpoint> Address();

// Expands the range in a text: "e[08-10]" gives "e08", "e09" and "e10". A text
// without range gives itself. Returns nothing if the range is malformed.
std::optional<std::vector<std::string>> ExpandRange(const std::string& aText);

} // namespace briarglade
