// Names of membership phases, sources and outcomes.

#include "briarglade/grouping/membership_update.h"

namespace briarglade {

const char* GroupPhaseName(GroupPhase aPhase)
{
  switch (aPhase) {
    case GroupPhase::Joining:
      return "joining";
    case GroupPhase::Ready:
      return "ready";
    case GroupPhase::Open:
      return "open";
    case GroupPhase::Closing:
      return "closing";
    case GroupPhase::Broken:
      return "broken";
  }
  return "unknown";
}

const char* UpdateSourceName(UpdateSource aSource)
{
  switch (aSource) {
    case UpdateSource::Row:
      return "row";
    case UpdateSource::Report:
      return "report";
    case UpdateSource::Announcement:
      return "announcement";
    case UpdateSource::Order:
      return "order";
  }
  return "unknown";
}

const char* UpdateOutcomeName(UpdateOutcome aOutcome)
{
  switch (aOutcome) {
    case UpdateOutcome::Applied:
      return "applied";
    case UpdateOutcome::Confirmed:
      return "confirmed";
    case UpdateOutcome::Outdated:
      return "outdated";
    case UpdateOutcome::Ambiguous:
      return "ambiguous";
  }
  return "unknown";
}

} // namespace briarglade
