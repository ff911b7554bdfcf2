// Adds the way of a message to the ages in it.

#include "briarglade/entry/notice_age.h"

#include <algorithm>

namespace briarglade {

Bulletin AsOfReceipt(const SendTime& aSentAt, const Bulletin& aBulletin)
{
  Bulletin received = aBulletin;
  const Millis delay = aSentAt.KnownDelay();
  received.m_age = ToldAge(aSentAt.AgeAtReceipt(aBulletin.m_age));
  for (CrashEvidence& evidence : received.m_harm.m_evidence) {
    evidence.m_age += delay;
  }
  for (TraitClearance& clearance : received.m_harm.m_clearances) {
    clearance.m_age += delay;
  }
  for (RateLimitNotice& notice : received.m_rateLimits) {
    notice = AsOfReceipt(aSentAt, notice);
  }
  if (!aSentAt.IsKnown()) {
    received.m_rateLimits.clear();
  }
  received.m_entryDoubt = std::max(Millis(), aBulletin.m_entryDoubt - delay);
  return received;
}

RateLimitNotice AsOfReceipt(const SendTime& aSentAt, RateLimitNotice aNotice)
{
  aNotice.m_age += aSentAt.KnownDelay();
  return aNotice;
}

TraitRefusal AsOfReceipt(const SendTime& aSentAt, TraitRefusal aRefusal)
{
  aRefusal.m_crashAge += aSentAt.KnownDelay();
  aRefusal.m_remaining = aRefusal.m_remaining - aSentAt.KnownDelay();
  return aRefusal;
}

} // namespace briarglade
