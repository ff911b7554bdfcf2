// When a node reads a feed of the store: whole at first and after a gap, then
// by waiting for changes, with a pause between calls and after failures.
//
// Example:
//   if (std::optional<FeedCall> call = follower.Tick(now)) { Send(*call); }
//   follower.OnAnswered(now, answer);

#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "briarglade/base/millis.h"
#include "briarglade/entry/store_feed.h"

namespace briarglade {

using FeedCall = std::variant<WatchFeed, ReadFeed>;

// How a feed is followed.
struct FeedPace
{
  Feed m_feed = Feed::Operator;
  // How long the store may wait for a change.
  Millis m_wait = Millis(1'000);
  // The shortest time between two calls.
  Millis m_gap = Millis(50);
};

class FeedFollower
{
public:
  FeedFollower() = default;
  explicit FeedFollower(const FeedPace& aPace)
    : m_pace(aPace)
  {
  }

  // Returns the call that is due, if any.
  std::optional<FeedCall> Tick(Millis aNow);
  // Takes the end of a call.
  void OnAnswered(Millis aNow, const FeedAnswered& aAnswer);
  // Lets so much time pass between two calls from now on.
  void SetGap(Millis aGap) { m_pace.m_gap = aGap; }

  // The whole feed has been read at some time.
  bool IsKnown() const { return m_isKnown; }
  StoreVersion Version() const { return m_version; }
  // When the store last answered.
  Millis AnsweredAt() const { return m_answeredAt; }
  // Returns the number of calls in a row that have failed.
  uint32_t Failures() const { return m_failures; }
  // Since when calls have failed; nothing if the last one did not.
  std::optional<Millis> FailingSince() const { return m_failingSince; }

private:
  FeedPace m_pace;
  bool m_isKnown = false;
  bool m_mustReadAll = true;
  bool m_isCalling = false;
  StoreVersion m_version;
  Millis m_calledAt = Millis(-1'000'000);
  Millis m_nextAt = Millis(-1'000'000);
  Millis m_answeredAt = Millis(-1'000'000);
  std::optional<Millis> m_failingSince;
  uint32_t m_failures = 0;
};

} // namespace briarglade
