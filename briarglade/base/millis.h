// Time in the product: one small type that counts milliseconds.
//
// An instant is the span since an epoch which the process chooses at start
// (steady, never set back). Wall-clock time appears only in logs and audits.
//
// Example:
//   constexpr Millis kLeaseTime = Millis(10'000);
//   if (now - lease.m_grantedAt > kLeaseTime) { ... }

#pragma once

#include <cstdint>
#include <functional>
#include <ostream>

namespace briarglade {

// A span of time, or an instant counted from the epoch of the process, in
// milliseconds.
class Millis
{
public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t aCount)
    : m_count(aCount)
  {
  }

  // Returns the number of milliseconds.
  constexpr int64_t Count() const { return m_count; }

  constexpr bool operator==(Millis aOther) const
  {
    return m_count == aOther.m_count;
  }
  constexpr bool operator!=(Millis aOther) const
  {
    return m_count != aOther.m_count;
  }
  constexpr bool operator<(Millis aOther) const
  {
    return m_count < aOther.m_count;
  }
  constexpr bool operator<=(Millis aOther) const
  {
    return m_count <= aOther.m_count;
  }
  constexpr bool operator>(Millis aOther) const
  {
    return m_count > aOther.m_count;
  }
  constexpr bool operator>=(Millis aOther) const
  {
    return m_count >= aOther.m_count;
  }
  constexpr Millis operator+(Millis aOther) const
  {
    return Millis(m_count + aOther.m_count);
  }
  constexpr Millis operator-(Millis aOther) const
  {
    return Millis(m_count - aOther.m_count);
  }
  constexpr Millis operator*(int64_t aFactor) const
  {
    return Millis(m_count * aFactor);
  }
  constexpr Millis operator/(int64_t aDivisor) const
  {
    return Millis(m_count / aDivisor);
  }
  constexpr Millis& operator+=(Millis aOther)
  {
    m_count += aOther.m_count;
    return *this;
  }

private:
  int64_t m_count = 0;
};

// Writes the count with its unit, such as "250ms".
inline std::ostream& operator<<(std::ostream& aOut, Millis aMillis)
{
  return aOut << aMillis.Count() << "ms";
}

// Returns the present instant. Tests supply a virtual one.
using Clock = std::function<Millis()>;

} // namespace briarglade
