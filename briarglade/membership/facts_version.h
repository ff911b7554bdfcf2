// The versions of the accepted facts of a region, as one comparable vector.
//
// Example:
//   if (mine.Covers(theirs)) { ... nothing to learn from them ... }
//   mine.Raise(theirs);

#pragma once

#include <cstdint>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/storage/table.h"

namespace briarglade {

enum class FactKind
{
  Config,
  Roster,
  Zone
};

// Names one fact of a region.
struct FactName
{
  FactKind m_kind = FactKind::Config;
  // Only for zones.
  ZoneId m_zone;

  bool operator==(const FactName& aOther) const
  {
    return m_kind == aOther.m_kind && m_zone == aOther.m_zone;
  }
  bool operator<(const FactName& aOther) const
  {
    return m_kind != aOther.m_kind ? m_kind < aOther.m_kind
                                   : m_zone < aOther.m_zone;
  }
};

// Returns the prefix of all fact rows of a region.
RowKey FactPrefix(const RegionId& aRegion);

// Returns the row that holds a fact.
RowKey FactKey(const RegionId& aRegion, const FactName& aName);

// Finds the fact that a row holds. Returns false if the row holds none.
bool ParseFactKey(const RegionId& aRegion, const RowKey& aKey, FactName& aName);

struct ZoneVersion
{
  ZoneId m_zone;
  uint64_t m_version = 0;
};

// One version for each fact; zero: none known. Partially ordered.
struct FactsVersion
{
  uint64_t m_config = 0;
  uint64_t m_roster = 0;
  // Sorted by zone.
  std::vector<ZoneVersion> m_zones;

  // Returns the version of one fact.
  uint64_t Of(const FactName& aName) const;
  // Sets the version of one fact, lower or higher.
  void Set(const FactName& aName, uint64_t aVersion);
  // Tells whether no fact of the other is newer.
  bool Covers(const FactsVersion& aOther) const;
  // Takes the higher version of each fact.
  void Raise(const FactsVersion& aOther);
};

} // namespace briarglade
