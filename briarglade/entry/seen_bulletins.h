// Remembers which bulletins have come, since they come on two ways.
//
// Example:
//   if (seen.Note(bulletin)) { PassOn(bulletin); }

#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "briarglade/base/ids.h"

namespace briarglade {

struct Bulletin;

class SeenBulletins
{
public:
  // Returns whether the bulletin is new.
  bool Add(const Bulletin& aBulletin);

private:
  struct Origin
  {
    uint64_t m_incarnation = 0;
    std::set<uint64_t> m_numbers;
  };
  std::map<NodeId, Origin> m_origins;
};

} // namespace briarglade
