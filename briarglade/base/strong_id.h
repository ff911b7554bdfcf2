// Identifiers that the compiler keeps apart: text ids and counted ids.
//
// Example:
//   using HostId = StrongId<struct HostIdTag>;
//   HostId host("perth-a-17");
//   std::unordered_map<HostId, Report> reports;

#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace briarglade {

// A text identifier. Two ids with different tags don't compare or convert.
template<typename Tag>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(std::string aValue)
    : m_value(std::move(aValue))
  {
  }

  // Returns the text of the id.
  const std::string& Value() const { return m_value; }

  // Tells whether the id is empty, which means "none".
  bool IsEmpty() const { return m_value.empty(); }

  bool operator==(const StrongId& aOther) const
  {
    return m_value == aOther.m_value;
  }
  bool operator!=(const StrongId& aOther) const
  {
    return m_value != aOther.m_value;
  }
  bool operator<(const StrongId& aOther) const
  {
    return m_value < aOther.m_value;
  }

private:
  std::string m_value;
};

template<typename Tag>
std::ostream& operator<<(std::ostream& aOut, const StrongId<Tag>& aId)
{
  return aOut << aId.Value();
}

// A counted identifier such as a version or a fencing token. Zero means "none".
template<typename Tag>
class StrongCount
{
public:
  constexpr StrongCount() = default;
  constexpr explicit StrongCount(uint64_t aValue)
    : m_value(aValue)
  {
  }

  // Returns the number.
  constexpr uint64_t Value() const { return m_value; }

  // Returns the number that follows this one.
  constexpr StrongCount Next() const { return StrongCount(m_value + 1); }

  constexpr bool operator==(StrongCount aOther) const
  {
    return m_value == aOther.m_value;
  }
  constexpr bool operator!=(StrongCount aOther) const
  {
    return m_value != aOther.m_value;
  }
  constexpr bool operator<(StrongCount aOther) const
  {
    return m_value < aOther.m_value;
  }
  constexpr bool operator<=(StrongCount aOther) const
  {
    return m_value <= aOther.m_value;
  }
  constexpr bool operator>(StrongCount aOther) const
  {
    return m_value > aOther.m_value;
  }
  constexpr bool operator>=(StrongCount aOther) const
  {
    return m_value >= aOther.m_value;
  }

private:
  uint64_t m_value = 0;
};

template<typename Tag>
std::ostream& operator<<(std::ostream& aOut, StrongCount<Tag> aCount)
{
  return aOut << aCount.Value();
}

} // namespace briarglade

template<typename Tag>
struct std::hash<briarglade::StrongId<Tag>>
{
  size_t operator()(const briarglade::StrongId<Tag>& aId) const
  {
    return std::hash<std::string>()(aId.Value());
  }
};

template<typename Tag>
struct std::hash<briarglade::StrongCount<Tag>>
{
  size_t operator()(briarglade::StrongCount<Tag> aCount) const
  {
    return std::hash<uint64_t>()(aCount.Value());
  }
};
