// Tracks which bulletins have been received, because each one arrives over two
// routes.
//
// Example:
//   if (seen.Add(bulletin)) { Forward(bulletin); }

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
  // Records a bulletin. Returns whether it is new.
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
