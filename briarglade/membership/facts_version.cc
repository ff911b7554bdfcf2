// The partial order of fact versions.

#include "briarglade/membership/facts_version.h"

#include <algorithm>
#include <string>

namespace briarglade {

namespace {

constexpr char kConfigPart[] = "config";
constexpr char kRosterPart[] = "roster";
constexpr char kZonePart[] = "zone/";

bool Precedes(const ZoneVersion& aEntry, const ZoneId& aZone)
{
  return aEntry.m_zone < aZone;
}

} // namespace

RowKey FactPrefix(const RegionId& aRegion)
{
  return RowKey("fact/" + aRegion.Value() + "/");
}

RowKey FactKey(const RegionId& aRegion, const FactName& aName)
{
  const std::string prefix = FactPrefix(aRegion).Value();
  switch (aName.m_kind) {
    case FactKind::Config:
      return RowKey(prefix + kConfigPart);
    case FactKind::Roster:
      return RowKey(prefix + kRosterPart);
    default:
      return RowKey(prefix + kZonePart + aName.m_zone.Value());
  }
}

bool ParseFactKey(const RegionId& aRegion, const RowKey& aKey, FactName& aName)
{
  const std::string prefix = FactPrefix(aRegion).Value();
  const std::string& key = aKey.Value();
  if (key.compare(0, prefix.size(), prefix) != 0) {
    return false;
  }
  const std::string part = key.substr(prefix.size());
  const std::string zonePart = kZonePart;
  if (part == kConfigPart) {
    aName = FactName{ FactKind::Config, ZoneId() };
    return true;
  }
  if (part == kRosterPart) {
    aName = FactName{ FactKind::Roster, ZoneId() };
    return true;
  }
  if (part.size() <= zonePart.size() ||
      part.compare(0, zonePart.size(), zonePart) != 0) {
    return false;
  }
  aName = FactName{ FactKind::Zone, ZoneId(part.substr(zonePart.size())) };
  return true;
}

uint64_t FactsVersion::Of(const FactName& aName) const
{
  if (aName.m_kind == FactKind::Config) {
    return m_config;
  }
  if (aName.m_kind == FactKind::Roster) {
    return m_roster;
  }
  const auto found =
    std::lower_bound(m_zones.begin(), m_zones.end(), aName.m_zone, Precedes);
  const bool isKnown = found != m_zones.end() && found->m_zone == aName.m_zone;
  return isKnown ? found->m_version : 0;
}

void FactsVersion::Set(const FactName& aName, uint64_t aVersion)
{
  if (aName.m_kind == FactKind::Config) {
    m_config = aVersion;
    return;
  }
  if (aName.m_kind == FactKind::Roster) {
    m_roster = aVersion;
    return;
  }
  const auto found =
    std::lower_bound(m_zones.begin(), m_zones.end(), aName.m_zone, Precedes);
  if (found != m_zones.end() && found->m_zone == aName.m_zone) {
    found->m_version = aVersion;
  } else {
    m_zones.insert(found, ZoneVersion{ aName.m_zone, aVersion });
  }
}

bool FactsVersion::Covers(const FactsVersion& aOther) const
{
  if (m_config < aOther.m_config || m_roster < aOther.m_roster) {
    return false;
  }
  auto mine = m_zones.begin();
  for (const ZoneVersion& theirs : aOther.m_zones) {
    while (mine != m_zones.end() && mine->m_zone < theirs.m_zone) {
      ++mine;
    }
    const bool isKnown = mine != m_zones.end() && mine->m_zone == theirs.m_zone;
    if ((isKnown ? mine->m_version : 0) < theirs.m_version) {
      return false;
    }
  }
  return true;
}

void FactsVersion::Raise(const FactsVersion& aOther)
{
  m_config = std::max(m_config, aOther.m_config);
  m_roster = std::max(m_roster, aOther.m_roster);
  for (const ZoneVersion& theirs : aOther.m_zones) {
    const FactName name{ FactKind::Zone, theirs.m_zone };
    if (Of(name) < theirs.m_version) {
      Set(name, theirs.m_version);
    }
  }
}

} // namespace briarglade
