// Sets the ages of notices in a message, which are as of when it was sent, to
// those as of its receipt, so that this node can apply them, or forward them,
// as its own.
//
// Example:
//   const SendTime sentAt = TimeOf(received);
//   const Bulletin bulletin = AsOfReceipt(sentAt, update.m_bulletins[0]);

#pragma once

#include "briarglade/entry/node_news.h"
#include "briarglade/entry/send_time.h"

namespace briarglade {

// Returns a bulletin whose age, and those of the notices in it, are as of its
// receipt. If it is not known for how long it was on its way, it is of any age,
// and the rate limits are left out: digests repeat them. Evidence of crashes,
// what clears it, and doubt about entries are not repeated, and remain as told.
Bulletin AsOfReceipt(const SendTime& aSentAt, const Bulletin& aBulletin);
// The same for notices of a digest. The way of the message must be known.
RateLimitNotice AsOfReceipt(const SendTime& aSentAt, RateLimitNotice aNotice);
TraitRefusal AsOfReceipt(const SendTime& aSentAt, TraitRefusal aRefusal);

} // namespace briarglade
