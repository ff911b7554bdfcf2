// The bound on what all clients together make the process hold: heads that are
// not complete, bodies, and parsed requests until they have been answered.
//
// Load pattern: clients that nobody controls, many of which send large bodies,
// stop before the end, or never send the announced bytes. Memory is granted
// before it is used. A request that cannot have it waits, and its connection is
// not read meanwhile (back pressure). Large requests together may use only a
// part of the bound, so that small ones do not wait behind them. While others
// wait, a request whose client has sent nothing for kStallTime is refused, the
// largest first. Requests that have been received whole are never refused.
//
// Takes the time as an argument and uses no clock or socket.
//
// Example:
//   auto budget = std::make_shared<CallerBudget>(kMaxBytes);
//   CallerHold hold(budget, { onGranted, onRefused });
//   if (hold.Ask(bodyBytes, now)) { ReadBody(); }

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <unordered_set>

#include "briarglade/base/millis.h"

namespace briarglade {

class CallerHold;

class CallerBudget
{
public:
  // How long a client may send nothing of a request while others wait for the
  // memory that it holds. A pause of this length in a request is not seen on a
  // link without losses; a lost segment is sent again after 200 ms.
  static constexpr Millis kStallTime = Millis(500);

  explicit CallerBudget(size_t aMaxBytes);
  CallerBudget(const CallerBudget&) = delete;
  CallerBudget& operator=(const CallerBudget&) = delete;

  // Refuses stalled requests if others wait. To be called every few dozen
  // milliseconds.
  void Tick(Millis aNow);

  size_t MaxBytes() const { return m_maxBytes; }
  // Bytes granted now.
  size_t HeldBytes() const { return m_heldBytes; }
  size_t WaitingCount() const { return m_waiting.size(); }
  // Requests that had to wait, and requests refused, since the start.
  uint64_t WaitCount() const { return m_waitCount; }
  uint64_t RefusedCount() const { return m_refusedCount; }

private:
  friend class CallerHold;

  // Whether a hold may grow to so many bytes now.
  bool Fits(const CallerHold& aHold, size_t aBytes) const;
  void Grant(CallerHold& aHold, size_t aBytes);
  // Grants what fits now to the holds that wait, in order.
  void GrantWaiting();

  const size_t m_maxBytes;
  size_t m_heldBytes = 0;
  // The part of it that large requests hold.
  size_t m_largeBytes = 0;
  std::unordered_set<CallerHold*> m_holds;
  std::list<CallerHold*> m_waiting;
  uint64_t m_waitCount = 0;
  uint64_t m_refusedCount = 0;
};

// Callbacks of a hold. They must not change any hold at once: they are called
// while others are granted or refused.
struct CallerHoldHooks
{
  // What was asked for is granted after a wait.
  std::function<void()> m_onGranted;
  // The request must be refused, as others wait for what it holds.
  std::function<void()> m_onRefused;
};

// What one connection holds of a CallerBudget.
class CallerHold
{
public:
  CallerHold(std::shared_ptr<CallerBudget> aBudget, CallerHoldHooks aHooks);
  ~CallerHold();
  CallerHold(const CallerHold&) = delete;
  CallerHold& operator=(const CallerHold&) = delete;

  // Asks to hold so many bytes in all. Returns whether they are granted;
  // otherwise m_onGranted is called later, unless the hold is released before.
  bool Ask(size_t aBytes, Millis aNow);
  // The client has sent more of the request.
  void NoteProgress(Millis aNow) { m_progressAt = aNow; }
  // The request has been received whole: it is not refused any more.
  void SetWhole() { m_isWhole = true; }
  // Gives all bytes back; the next request begins.
  void Release();

  size_t Bytes() const { return m_bytes; }
  bool IsWaiting() const { return m_isWaiting; }

private:
  friend class CallerBudget;

  void StopWaiting();

  const std::shared_ptr<CallerBudget> m_budget;
  const CallerHoldHooks m_hooks;
  size_t m_bytes = 0;
  size_t m_askedBytes = 0;
  Millis m_progressAt;
  bool m_isWaiting = false;
  bool m_isWhole = false;
  bool m_isRefused = false;
};

} // namespace briarglade
