// The bound on what all answers that are held at one time take together.
//
// Whoever keeps an answer accounts for it with an AnswerHold. Above the bound,
// the largest answers that may be cut are cut, so that a server that sends
// without end doesn't cost the small answers of others.
//
// Load pattern: many clients ask for streams and do not read them. What has
// been written of streams and not been taken may use half of the bound. Servers
// of such streams are paused earlier once a quarter is used; above half, the
// largest unread streams are cut, so that whole answers are spared.
//
// Example:
//   auto budget = std::make_shared<AnswerBudget>(kMaxBytes);
//   AnswerHold hold(budget, "request-1");
//   hold.OnCut([&] { body = std::string(); });
//   hold.SetBytes(body.capacity());

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_set>

namespace briarglade {

class AnswerHold;

// An answer that was cut, and what was held just before.
struct AnswerCut
{
  std::string m_request;
  size_t m_heldBytes = 0;
  // Whether the bound on unread streams was exceeded; the two numbers below are
  // then those of unread streams only.
  bool m_isForUnreadStreams = false;
  size_t m_allHeldBytes = 0;
  size_t m_maxBytes = 0;
};

class AnswerBudget
{
public:
  // Unread bytes of one stream at which reading from its server pauses, as long
  // as all unread streams together take at most a quarter of the bound.
  static constexpr size_t kPauseBytes = 64 * 1024;

  explicit AnswerBudget(size_t aMaxBytes);
  AnswerBudget(const AnswerBudget&) = delete;
  AnswerBudget& operator=(const AnswerBudget&) = delete;

  // Bytes that all answers hold now.
  size_t HeldBytes() const { return m_heldBytes; }
  // The part of it that clients have not taken of streams.
  size_t UnreadStreamBytes() const { return m_unreadStreamBytes; }
  // Answers cut since the start.
  uint64_t CutCount() const { return m_cutCount; }
  // The most bytes of a stream that may wait for its client before reading from
  // its server pauses.
  size_t PauseBytes() const;
  // Calls back for each answer that is cut.
  void OnCut(std::function<void(const AnswerCut&)> aCallback);

private:
  friend class AnswerHold;

  // Replaces what an answer counted for by what it holds now.
  void Count(AnswerHold& aHold, size_t aBytes);
  // Cuts answers until the bounds are kept.
  void KeepBounds();
  // Cuts the largest answer, or the largest unread stream. Returns false if
  // none may be cut.
  bool CutLargest(bool aUnreadStreamsOnly);

  const size_t m_maxBytes;
  size_t m_heldBytes = 0;
  size_t m_unreadStreamBytes = 0;
  uint64_t m_cutCount = 0;
  std::unordered_set<AnswerHold*> m_holds;
  std::function<void(const AnswerCut&)> m_onCut;
};

} // namespace briarglade
