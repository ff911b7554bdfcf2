// What this node knows of each backend that it may send requests to: load, own
// and others', failures, silence and cold start; and the choice of one.
//
// The load patterns it answers: many nodes place requests at the same few
// backends at once, and each sees only its own part. The nodes tell each other
// their parts a few times a second; a choice goes by the sum. Prompts of very
// different lengths: a group reads them between the tokens that it writes, so
// what it has still to read holds up all that runs there and counts by its
// tokens. A lost group's requests come back all at once: with the same old news
// the nodes must not choose alike.
//
// Example:
//   book.SetBackends(now, backends);
//   std::optional<size_t> slot = book.Choose(now, wish);
//   book.NoteStarted(now, *slot);

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/gateway/cold_start_limit.h"
#include "briarglade/gateway/gateway_event.h"

namespace briarglade {

// Names a backend for as long as the book knows it; never given to another one.
using BackendSerial = StrongCount<struct BackendSerialTag>;

// What a request needs of a backend.
struct BackendWish
{
  ServiceId m_service;
  ModelId m_model;
  // Backends that the request has been sent to before; not chosen again.
  const std::vector<BackendSerial>* m_tried = nullptr;
};

// One backend, and this node's dealings with it. A slot keeps its place while
// requests are in flight there.
struct BackendSlot
{
  Backend m_backend;
  BackendSerial m_serial;
  // New requests may go there.
  bool m_isListed = false;
  uint32_t m_inFlight = 0;
  // Those of them whose answer has begun.
  uint32_t m_writing = 0;
  // Prompt tokens of those whose answer hasn't begun.
  uint32_t m_unreadTokens = 0;
  // What the other nodes have under way there, as last told.
  uint32_t m_othersInFlight = 0;
  uint32_t m_othersUnread = 0;
  // When a part of any answer last came from there.
  Millis m_lastBytesAt;
  // Nothing has come for too long although answers are under way: not to be
  // chosen until then, unless bytes come.
  Millis m_suspectUntil;
  // The same by other nodes' word, which is not passed on: two nodes that told
  // each other would never end it.
  Millis m_toldSuspectUntil;
  // Not to be chosen until then.
  Millis m_avoidUntil;
  // Moving average of failed exchanges, 0 to 1.
  double m_failureShare = 0;

  uint32_t Load() const { return m_inFlight + m_othersInFlight; }
  bool IsSuspect(Millis aNow) const
  {
    return std::max(m_suspectUntil, m_toldSuspectUntil) > aNow;
  }
  // How long the backend may be silent while it writes.
  Millis SuspectAfter() const;
};

class BackendBook
{
public:
  // The node's own zone is preferred where loads are near.
  BackendBook(ZoneId aZone,
              uint32_t aSeed,
              std::shared_ptr<const FleetShare> aShare)
    : m_zone(std::move(aZone))
    , m_random(aSeed)
    , m_coldStart(std::move(aShare))
  {
  }

  // Takes the backends that may get new requests; others are forgotten once
  // nothing is in flight there.
  void SetBackends(Millis aNow, const std::vector<Backend>& aBackends);
  void SetPeerLoad(const PeerLoad& aLoad);
  ColdStartLimit& ColdStart() { return m_coldStart; }

  // Returns the backend with room that is best for the request, or nothing.
  std::optional<size_t> Choose(Millis aNow, const BackendWish& aWish);
  // Tells whether any backend that wasn't tried serves the wish, with room or
  // without, and may get requests of this node before an instant.
  bool HasAny(Millis aNow, const BackendWish& aWish, Millis aBefore);

  // A request with a prompt of so many tokens is sent, its answer begins, goes
  // on
  // and ends.
  void NoteStarted(Millis aNow, size_t aSlot, uint32_t aPromptTokens);
  void NoteAnswerBegan(Millis aNow, size_t aSlot, uint32_t aPromptTokens);
  void NoteProgress(Millis aNow, size_t aSlot);
  void NoteEnded(size_t aSlot, bool aAnswerBegan, uint32_t aPromptTokens);
  // Learns whether an exchange went well.
  void NoteResult(size_t aSlot, bool aIsGood);
  // Leaves the backend out of the choice for a while.
  void Avoid(Millis aUntil, size_t aSlot);
  // Leaves out a server, whatever group it leads, as it has asked for.
  void HoldOff(Millis aUntil, const HostId& aServer);
  // Returns for how long every backend that serves the wish has asked to be
  // left out; zero if some hasn't.
  Millis HeldOffFor(Millis aNow, const BackendWish& aWish) const;

  // Suspects backends that are silent.
  void SuspectSilent(Millis aNow);
  // Another node finds these groups silent.
  void NotePeerSuspects(Millis aNow, const std::vector<GroupId>& aGroups);
  bool IsSuspect(Millis aNow, size_t aSlot) const;
  // Returns the groups that this node itself finds silent, for the others.
  std::vector<GroupId> OwnSuspects(Millis aNow) const;
  // Tells whether what runs at the backend should go on elsewhere.
  bool ShouldMoveFrom(Millis aNow, size_t aSlot) const;

  const BackendSlot& Slot(size_t aSlot) const { return m_slots[aSlot]; }
  size_t SlotCount() const { return m_slots.size(); }
  // Returns what this node has under way at each server, for the others.
  std::vector<ServerLoad> OwnLoad() const;

private:
  using Key = std::pair<HostId, GroupId>;

  bool Serves(const BackendSlot& aSlot, const BackendWish& aWish) const;
  Millis HeldOffUntil(const BackendSlot& aSlot) const;
  static bool WasTried(const BackendSlot& aSlot, const BackendWish& aWish);
  bool HasRoom(Millis aNow, const BackendSlot& aSlot);
  double Cost(const BackendSlot& aSlot) const;
  size_t SlotFor(const Backend& aBackend);
  template<typename Visitor>
  void VisitSlotsOf(const HostId& aServer, const Visitor& aVisitor);
  void AddOthers(const ServerLoad& aLoad);
  void SubtractOthers(const ServerLoad& aLoad);
  void UpdateOthers();

  ZoneId m_zone;
  std::minstd_rand m_random;
  ColdStartLimit m_coldStart;
  std::deque<BackendSlot> m_slots;
  uint64_t m_lastSerial = 0;
  std::map<Key, size_t> m_byKey;
  std::map<NodeId, std::vector<ServerLoad>> m_peerLoads;
  // Servers that have asked for a pause, and until when.
  std::map<HostId, Millis> m_heldOffUntil;
};

} // namespace briarglade
