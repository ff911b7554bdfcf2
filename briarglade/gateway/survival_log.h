// Remembers when prompt parts last survived: those that survived last, a
// bounded number for a bounded time.
//
// Example:
//   SurvivalLog log;
//   log.Record(part, answerBeganAt);
//   if (log.LastSurvival(part) > crashedAt) { Clear(part); }

#pragma once

#include <cstddef>
#include <map>

#include "briarglade/base/millis.h"
#include "briarglade/gateway/crash_evidence.h"

namespace briarglade {

class SurvivalLog
{
public:
  // Records that an answer to a request with the trait began at aAt and did not
  // crash its server.
  void Record(const RequestTrait& aTrait, Millis aAt);
  // Returns when the last such answer began; zero if none is known.
  Millis LastSurvival(const RequestTrait& aTrait) const;

  // Forgets survivals that were recorded long ago.
  void Expire(Millis aNow);
  // Returns the number of times that are kept; a trait may have two.
  size_t Size() const { return m_recent.size() + m_earlier.size(); }

private:
  using Times = std::map<RequestTrait, Millis>;

  void Rotate();

  Times m_recent;
  Times m_earlier;
  Millis m_rotatedAt;
};

} // namespace briarglade
