// Compares how often the requests of each class (a priority, an account, a
// size) are served with how often all requests are.
//
// Designed for this load pattern: a lasting overload in which one class always
// comes second, such as a less urgent route or long prompts that fit in fewer
// places. Such a class must still be served a part of the time.
//
// Example:
//   fraction.RecordArrived(now, account);
//   if (fraction.IsUnderserved(now, account)) { ... }

#pragma once

#include <cmath>
#include <cstddef>
#include <map>

#include "briarglade/base/millis.h"

namespace briarglade {

template<typename Key>
class ServedFraction
{
public:
  // A class is underserved if its served fraction is below aFloor times the
  // served fraction of all requests.
  explicit ServedFraction(double aFloor)
    : m_floor(aFloor)
  {
  }

  void RecordArrived(Millis aNow, const Key& aKey)
  {
    Add(aNow, m_all, 1, 0);
    // Forgets all classes rather than hold ever more of them.
    if (m_classes.size() >= kMaxClasses && m_classes.count(aKey) == 0) {
      m_classes.clear();
    }
    Add(aNow, m_classes[aKey], 1, 0);
  }
  void RecordStarted(Millis aNow, const Key& aKey)
  {
    Add(aNow, m_all, 0, 1);
    const auto found = m_classes.find(aKey);
    if (found != m_classes.end()) {
      Add(aNow, found->second, 0, 1);
    }
  }
  bool IsUnderserved(Millis aNow, const Key& aKey) const
  {
    const auto found = m_classes.find(aKey);
    if (found == m_classes.end()) {
      return false;
    }
    const Counts all = Decayed(aNow, m_all);
    const Counts own = Decayed(aNow, found->second);
    return own.m_arrived >= kMinArrived &&
           own.m_started * all.m_arrived <
             m_floor * all.m_started * own.m_arrived;
  }

private:
  // Arrivals and starts this long ago count 1/e.
  static constexpr double kDecayMillis = 10'000;
  // With fewer recent arrivals the fraction of a class says little.
  static constexpr double kMinArrived = 2;
  static constexpr size_t kMaxClasses = 1'000;

  struct Counts
  {
    double m_arrived = 0;
    double m_started = 0;
    Millis m_updatedAt = Millis();
  };

  static Counts Decayed(Millis aNow, const Counts& aCounts)
  {
    const auto age = static_cast<double>((aNow - aCounts.m_updatedAt).Count());
    const double factor = std::exp(-age / kDecayMillis);
    return Counts{ aCounts.m_arrived * factor,
                   aCounts.m_started * factor,
                   aNow };
  }
  static void Add(Millis aNow,
                  Counts& aCounts,
                  double aArrived,
                  double aStarted)
  {
    aCounts = Decayed(aNow, aCounts);
    aCounts.m_arrived += aArrived;
    aCounts.m_started += aStarted;
  }

  double m_floor;
  Counts m_all;
  std::map<Key, Counts> m_classes;
};

} // namespace briarglade
