// Remembers when prompt parts last survived: the parts seen last, in bounded
// memory.
//
// Example:
//   SurvivalLog log;
//   log.Record(part, answerBeganAt);
//   if (log.LastSurvival(part) > crashedAt) { Clear(part); }

#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

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

private:
  std::map<RequestTrait, Millis> m_times;
  // The traits in the order in which they were first recorded.
  std::deque<RequestTrait> m_order;
};

} // namespace briarglade
