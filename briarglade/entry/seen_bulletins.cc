// Tracking of the bulletins that have been received.

#include "briarglade/entry/seen_bulletins.h"

#include "briarglade/entry/node_news.h"

namespace briarglade {

namespace {

// The number of bulletins of one origin that may be in transit at once.
constexpr size_t kMaxNumbersPerOrigin = 256;

} // namespace

bool SeenBulletins::Add(const Bulletin& aBulletin)
{
  Origin& origin = m_origins[aBulletin.m_origin];
  if (origin.m_incarnation != aBulletin.m_incarnation) {
    origin = Origin();
    origin.m_incarnation = aBulletin.m_incarnation;
  }
  const bool isNew = origin.m_numbers.insert(aBulletin.m_number).second;
  if (origin.m_numbers.size() > kMaxNumbersPerOrigin) {
    origin.m_numbers.erase(origin.m_numbers.begin());
  }
  return isNew;
}

} // namespace briarglade
