// Parsing of single values.

#include "briarglade/config/internal/value_type.h"

#include <algorithm>
#include <arpa/inet.h>
#include <utility>

namespace briarglade {

namespace {

constexpr uint64_t kHighestCount = 1'000'000'000;
constexpr uint64_t kHighestPort = 65'535;
constexpr uint64_t kMaxRange = 1'000;
constexpr size_t kMaxNameBytes = 100;
constexpr size_t kHashDigits = 64;
constexpr uint64_t kLongestMillis = 24 * 3'600'000;

bool IsMadeOf(const std::string& aText, const char* aLetters)
{
  return !aText.empty() &&
         aText.find_first_not_of(aLetters) == std::string::npos;
}

// Returns a whole number of at most ten digits.
std::optional<uint64_t> ParseDigits(const std::string& aText)
{
  constexpr size_t kMaxDigits = 10;
  if (!IsMadeOf(aText, "0123456789") || aText.size() > kMaxDigits) {
    return std::nullopt;
  }
  return std::stoull(aText);
}

// A unit and how many of the base unit it holds.
struct Unit
{
  const char* m_name;
  uint64_t m_factor;
};

// Returns a number with its unit, in the base unit. Zero is not allowed.
std::optional<uint64_t> ParseQuantity(const std::string& aText,
                                      const std::vector<Unit>& aUnits,
                                      uint64_t aHighest)
{
  const size_t digits =
    std::min(aText.find_first_not_of("0123456789"), aText.size());
  const std::optional<uint64_t> number = ParseDigits(aText.substr(0, digits));
  for (const Unit& unit : aUnits) {
    if (number && aText.substr(digits) == unit.m_name) {
      const uint64_t quantity = *number * unit.m_factor;
      return quantity > 0 && quantity <= aHighest ? std::optional(quantity)
                                                  : std::nullopt;
    }
  }
  return std::nullopt;
}

std::optional<uint32_t> ParseGigabytes(const std::string& aText,
                                       const std::vector<Unit>& aUnits)
{
  const auto quantity = ParseQuantity(aText, aUnits, kHighestCount);
  return quantity ? std::optional(static_cast<uint32_t>(*quantity))
                  : std::nullopt;
}

std::optional<std::string> ParseName(const std::string& aText)
{
  const bool allowed =
    aText.size() <= kMaxNameBytes &&
    IsMadeOf(
      aText,
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_");
  return allowed ? std::optional(aText) : std::nullopt;
}

std::optional<Share> ParseShare(const std::string& aText)
{
  constexpr uint64_t kWhole = 100;
  if (const auto percent = ParseQuantity(aText, { Unit{ "%", 1 } }, kWhole)) {
    return Share{ static_cast<uint32_t>(*percent), true };
  }
  if (const auto weight =
        ParseQuantity(aText, { Unit{ "", 1 } }, kHighestCount)) {
    return Share{ static_cast<uint32_t>(*weight), false };
  }
  return std::nullopt;
}

std::optional<Endpoint> ParseAddress(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const std::string ip = aText.substr(0, colon);
  const std::optional<uint64_t> port = ParseDigits(aText.substr(colon + 1));
  in_addr parsed{};
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1 || !port || *port == 0 ||
      *port > kHighestPort) {
    return std::nullopt;
  }
  return Endpoint{ ip, static_cast<uint16_t>(*port) };
}

std::optional<int32_t> ParsePriority(const std::string& aText)
{
  const bool negative = !aText.empty() && aText.front() == '-';
  const auto number = ParseDigits(negative ? aText.substr(1) : aText);
  if (!number || *number > kHighestCount) {
    return std::nullopt;
  }
  const auto value = static_cast<int32_t>(*number);
  return negative ? -value : value;
}

std::optional<std::vector<std::string>> ParseNameRange(const std::string& aText)
{
  std::optional<std::vector<std::string>> names = ExpandRange(aText);
  if (!names || !ParseName(names->front()) || !ParseName(names->back())) {
    return std::nullopt;
  }
  return names;
}

// Writes a number with leading zeros up to a width.
std::string Pad(uint64_t aNumber, size_t aWidth)
{
  const std::string digits = std::to_string(aNumber);
  return std::string(aWidth - std::min(aWidth, digits.size()), '0') + digits;
}

} // namespace

ValueType<uint32_t> Count(uint32_t aLowest, uint32_t aHighest)
{
  const auto parse = [=](const std::string& aText) -> std::optional<uint32_t> {
    const std::optional<uint64_t> number = ParseDigits(aText);
    const bool allowed = number && *number >= aLowest && *number <= aHighest;
    return allowed ? std::optional(static_cast<uint32_t>(*number))
                   : std::nullopt;
  };
  return { "a whole number from " + std::to_string(aLowest) + " to " +
             std::to_string(aHighest),
           parse };
}

ValueType<int32_t> Priority()
{
  return { "a whole number from -1000000000 to 1000000000", ParsePriority };
}

ValueType<Millis> Duration()
{
  const auto parse = [](const std::string& aText) -> std::optional<Millis> {
    const auto quantity = ParseQuantity(
      aText,
      { { "ms", 1 }, { "s", 1'000 }, { "min", 60'000 }, { "h", 3'600'000 } },
      kLongestMillis);
    return quantity ? std::optional(Millis(static_cast<int64_t>(*quantity)))
                    : std::nullopt;
  };
  return { "a time with its unit, from 1ms to 24h, such as 500ms, 60s or 5min",
           parse };
}

ValueType<uint32_t> Gigabytes()
{
  return { "a size with its unit, such as 40GB or 2TB",
           [](const std::string& aText) {
             return ParseGigabytes(aText, { { "GB", 1 }, { "TB", 1'000 } });
           } };
}

ValueType<uint32_t> GigabytesPerSecond()
{
  return { "a rate with its unit, such as 10GB/s",
           [](const std::string& aText) {
             return ParseGigabytes(aText, { { "GB/s", 1 } });
           } };
}

ValueType<bool> Flag()
{
  const auto parse = [](const std::string& aText) -> std::optional<bool> {
    if (aText != "true" && aText != "false") {
      return std::nullopt;
    }
    return aText == "true";
  };
  return { "true or false", parse };
}

ValueType<Share> ShareValue()
{
  return { "a percentage such as 25%, or a weight such as 3", ParseShare };
}

ValueType<std::string> Name()
{
  return { "a name of letters, digits, '-' and '_'", ParseName };
}

ValueType<std::vector<std::string>> NameRange()
{
  return { "a name of letters, digits, '-' and '_', or a range such as "
           "perth-a-1-[01-08]",
           ParseNameRange };
}

ValueType<std::string> KeyHash()
{
  const auto parse =
    [](const std::string& aText) -> std::optional<std::string> {
    const bool allowed =
      aText.size() == kHashDigits && IsMadeOf(aText, "0123456789abcdef");
    return allowed ? std::optional(aText) : std::nullopt;
  };
  return { "the SHA-256 of a bearer key, 64 digits of lower-case hex", parse };
}

ValueType<Endpoint> Address()
{
  return { "IP:PORT with an IPv4 number, such as 10.20.1.11:7000",
           ParseAddress };
}

std::optional<std::vector<std::string>> ExpandRange(const std::string& aText)
{
  const size_t open = aText.find('[');
  if (open == std::string::npos) {
    return std::vector<std::string>{ aText };
  }
  const size_t dash = aText.find('-', open);
  const size_t close = aText.find(']', open);
  if (dash == std::string::npos || close == std::string::npos || dash > close) {
    return std::nullopt;
  }
  const std::string low = aText.substr(open + 1, dash - open - 1);
  const auto first = ParseDigits(low);
  const auto last = ParseDigits(aText.substr(dash + 1, close - dash - 1));
  if (!first || !last || *first > *last || *last - *first >= kMaxRange) {
    return std::nullopt;
  }
  std::vector<std::string> texts;
  for (uint64_t number = *first; number <= *last; ++number) {
    texts.push_back(aText.substr(0, open) + Pad(number, low.size()) +
                    aText.substr(close + 1));
  }
  return texts;
}

} // namespace briarglade
