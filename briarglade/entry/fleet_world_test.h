// Simulates a fleet of entry nodes with a store, backend servers and callers,
// in virtual time, for the tests of this folder. The nodes run the real
// reducers. Messages between them may be delayed, lost or reordered, and nodes
// may be killed, started, frozen and partitioned at any moment.
//
// Example:
//   FleetWorld world(FleetOptions{ 63 });
//   world.AddServer(record);
//   world.Run(Millis(3'000));
//   CHECK(world.Holder() < 63);

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarglade/base/overloaded.h"
#include "briarglade/entry/crashing_servers_test.h"
#include "briarglade/entry/own_rows.h"
#include "briarglade/entry/paged_read.h"
#include "briarglade/entry/reduce_entry.h"
#include "briarglade/entry/state_invariants_test.h"
#include "briarglade/entry/store_history_test.h"
#include "briarglade/entry/store_version.h"

namespace briarglade {

// Returns the number of seeds to run: the greater of aLeast and the value of
// BRIARGLADE_SEEDS.
inline uint32_t SeedCount(uint32_t aLeast)
{
  const char* setting = std::getenv("BRIARGLADE_SEEDS");
  return setting == nullptr
           ? aLeast
           : std::max(aLeast, static_cast<uint32_t>(std::stoul(setting)));
}

struct FleetOptions
{
  uint32_t m_nodes = 5;
  uint32_t m_zones = 1;
  uint32_t m_seed = 1;
  // The delay of updates between two nodes, and the fraction that is lost.
  Millis m_leastDelay = Millis(10);
  Millis m_mostDelay = Millis(10);
  double m_lossRate = 0;
  // Callers' requests per second to each node.
  double m_requestsPerSecond = 0;
  // Time from a request's arrival at a server to the end of its answer.
  Millis m_answerTime = Millis(50);
  // The least size of the configuration's row.
  size_t m_configBytes = 0;
  EntryBounds m_bounds;
  // The nodes' steady clocks differ by up to this.
  Millis m_clockSpread;
  // Rows of one page of a read of a whole feed. The store makes one page in
  // each step.
  size_t m_pageRows = 5;
};

// A request that a server received.
struct ServedRequest
{
  Millis m_at;
  RequestHandle m_handle;
  size_t m_node = 0;
};

class FleetWorld
{
public:
  static constexpr Millis kStep = Millis(10);

  explicit FleetWorld(const FleetOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
  {
    m_config.m_version = ConfigVersion(1);
    for (uint32_t i = 0; i < aOptions.m_nodes; ++i) {
      AddNode();
    }
    PublishConfig();
  }

  // The configuration that Configure() publishes with a new version.
  GatewayConfig& Config() { return m_config; }
  void Configure(uint64_t aVersion)
  {
    m_config.m_version = ConfigVersion(aVersion);
    PublishConfig();
  }
  void SetZoneOut(const std::string& aZone, bool aIsOut)
  {
    Put(Feed::Operator,
        kZonePrefix + aZone,
        aIsOut ? std::optional<std::string>("out") : std::nullopt);
  }

  // Writes a server's entry.
  void AddServer(const ServerRecord& aRecord)
  {
    m_entries->push_back(aRecord);
    Put(Feed::Servers,
        aRecord.m_host.Value(),
        std::to_string(m_entries->size() - 1));
  }
  void RemoveServer(const std::string& aHost)
  {
    Put(Feed::Servers, aHost, std::nullopt);
  }
  void SetStoreStatusOfAll(StoreStatus aStatus)
  {
    for (size_t node = 0; node < m_nodes.size(); ++node) {
      SetStoreStatus(node, aStatus);
    }
  }
  // Ends the calls that wait for changes, without the changes.
  void BreakWatches(StoreStatus aStatus)
  {
    for (const Watch& watch : m_watches) {
      FeedAnswered answer;
      answer.m_call = watch.m_call.m_call;
      answer.m_feed = watch.m_call.m_feed;
      answer.m_status = aStatus;
      Send(watch.m_node, kStep, answer);
    }
    m_watches.clear();
  }

  // Lets the store forget which rows changed so far: who asks for it must read
  // all again. The calls that wait for changes end so, too.
  void DropHistory()
  {
    m_historyFrom = m_version;
    BreakWatches(StoreStatus::HistoryGone);
  }
  // Sets a hook that runs after the store has made a page of a node's read of a
  // whole feed. It gets the node, the feed and the number of the page, from 1.
  void SetPageHook(std::function<void(size_t, Feed, size_t)> aHook)
  {
    m_onPage = std::move(aHook);
  }

  // Keeps a copy of the store, and lets the store come back from it. Its
  // writers do not write again by themselves.
  void SaveStoreCopy() { m_copy = StoreCopy{ m_rows, m_version }; }
  void ReturnStoreToCopy()
  {
    m_rows = m_copy.m_rows;
    m_version = m_copy.m_version;
    m_historyFrom = std::min(m_historyFrom, m_version);
    m_era = m_era.Next();
    m_history.ReturnTo(m_version, m_era);
    BreakWatches(StoreStatus::HistoryGone);
  }
  StoreEra Era() const { return m_era; }

  // Overwrites one of the product's own rows.
  void PutOwnRow(const RowKey& aKey, const std::string& aText)
  {
    Put(Feed::Own, aKey.Value(), aText);
  }

  // Returns the value of one of the product's own rows, if it exists.
  std::optional<std::string> OwnRowText(const RowKey& aKey) const
  {
    const auto row = m_rows.find({ Feed::Own, aKey.Value() });
    return row == m_rows.end() ? std::nullopt : row->second.m_value;
  }

  size_t AddNode()
  {
    const size_t index = m_nodes.size();
    m_nodes.emplace_back();
    if (m_options.m_clockSpread > Millis()) {
      m_nodes[index].m_clockOffset =
        Millis(static_cast<int64_t>(Pick(m_options.m_clockSpread.Count())));
    }
    m_nodes[index].m_tickOffset =
      Millis(static_cast<int64_t>(index % kTickSteps) * kStep.Count());
    Start(index);
    return index;
  }
  void Kill(size_t aNode) { m_nodes[aNode].m_isUp = false; }
  // Restarts a killed node's process, without its earlier state.
  void Start(size_t aNode)
  {
    Node& node = m_nodes[aNode];
    const auto number = std::to_string(aNode);
    EntrySettings settings;
    settings.m_node = NodeId("n" + number);
    settings.m_zone = ZoneId(ZoneName(aNode % m_options.m_zones));
    settings.m_callerAddress = Endpoint{ "10.0.0.1", 8'000 };
    settings.m_peerAddress =
      Endpoint{ "10.0.0.1", static_cast<uint16_t>(kFirstPort + aNode) };
    settings.m_bounds = m_options.m_bounds;
    node.m_state = std::make_unique<EntryState>(
      MakeEntryState(settings, ++m_lastIncarnation, MakeDecoder()));
    node.m_isUp = true;
    node.m_startedAt = m_now;
    node.m_checkedUpTo = FeedVersions();
    node.m_deferredEvents.clear();
    ++node.m_run;
  }
  // Stops the node's processing for a time; its events are deferred.
  void Freeze(size_t aNode, Millis aTime)
  {
    m_nodes[aNode].m_frozenUntil = m_now + aTime;
  }
  // Limits the rate in bytes per millisecond at which the node sends and
  // receives updates. An update that does not arrive within the time that a
  // call may take is lost, as is one that is too large for a socket's buffer if
  // its receiver is frozen for longer than that.
  void SetLinkRate(size_t aNode, size_t aBytesPerMs)
  {
    m_nodes[aNode].m_linkRate = aBytesPerMs;
    m_hasLimitedLinks = true;
  }
  // Makes the node like an earlier version of the program, which reads a
  // compressed value as an empty one.
  void SetReadsPacked(size_t aNode, bool aReadsPacked)
  {
    m_nodes[aNode].m_readsPacked = aReadsPacked;
  }
  // Makes the node like an earlier version of the program, whose messages tell
  // no time of sending and return nothing of earlier messages.
  void SetTellsSendTime(size_t aNode, bool aTellsSendTime)
  {
    m_nodes[aNode].m_tellsSendTime = aTellsSendTime;
  }
  // Partitions the node from all other nodes, or heals the partition.
  void SetCutOff(size_t aNode, bool aIsCutOff)
  {
    m_nodes[aNode].m_isCutOff = aIsCutOff;
  }
  // Breaks the link between two nodes, or restores it.
  void SetCutBetween(size_t aOne, size_t aOther, bool aIsCut)
  {
    if (aIsCut) {
      m_cuts.insert(std::minmax(aOne, aOther));
    } else {
      m_cuts.erase(std::minmax(aOne, aOther));
    }
  }
  // Holds back what a node sends to another one from now on, or lets it go: it
  // all arrives at once, in order, also if the sender has ended meanwhile.
  void SetHeldBack(size_t aFrom, size_t aTo, bool aIsHeldBack)
  {
    if (aIsHeldBack) {
      m_heldBack.try_emplace({ aFrom, aTo });
      return;
    }
    const auto link = m_heldBack.find({ aFrom, aTo });
    if (link == m_heldBack.end()) {
      return;
    }
    for (HeldBack& held : link->second) {
      if (held.m_receiverRun == m_nodes[aTo].m_run) {
        Send(aTo, m_options.m_leastDelay, std::move(held.m_update));
      }
    }
    m_heldBack.erase(link);
  }
  // Sets whether the store serves the node's calls, refuses them, or does not
  // answer them.
  void SetStoreStatus(size_t aNode, StoreStatus aStatus)
  {
    m_nodes[aNode].m_storeStatus = aStatus;
  }
  // Sets whether every exchange with a server fails.
  void SetFailing(bool aIsFailing) { m_isFailing = aIsFailing; }
  // Makes a server indicate in every answer that it is shutting down.
  void SetLeaving(const std::string& aHost) { m_leaving.insert(HostId(aHost)); }
  // Sets the limit in requests per second that a server's answers state.
  void SetRateLimit(const std::string& aHost, std::optional<double> aRate)
  {
    m_rateLimits[HostId(aHost)] = aRate;
  }
  // Lets the servers crash, answer probes and end for good instead of answering
  // everything. A crashed server's entry is removed after kEntryLifetime, when
  // aOnRestart is called to add the server's next run.
  void UseCrashingServers(std::function<void(const HostId&)> aOnRestart)
  {
    m_onRestart = std::move(aOnRestart);
  }
  CrashingServers& Servers() { return m_crashingServers; }
  // Sets hooks that carry out the nodes' orders and probes, and that run once
  // in each step. SendEvent() returns their results.
  void SetServerHooks(
    std::function<void(size_t aNode, const GroupOrder&)> aOnOrder,
    std::function<void(size_t aNode, const ProbeServerNow&)> aOnProbe,
    std::function<void()> aOnStep)
  {
    m_onOrder = std::move(aOnOrder);
    m_onProbe = std::move(aOnProbe);
    m_onStep = std::move(aOnStep);
  }
  // Delivers an event to a node's present process after a delay.
  void SendEvent(size_t aNode, Millis aDelay, EntryEvent aEvent)
  {
    Send(aNode, aDelay, std::move(aEvent));
  }
  // Returns the shared parts of each request that was refused as harmful.
  const std::vector<std::vector<PromptPartId>>& RefusedAsHarmful() const
  {
    return m_refusedAsHarmful;
  }
  // Sets a hook that completes each caller's request before it is submitted.
  void SetRequestHook(std::function<void(RequestReceived&)> aHook)
  {
    m_requestHook = std::move(aHook);
  }
  // Asks the node to stop. It notes this now, and was asked up to aNotedAfter
  // before.
  void Stop(size_t aNode, Millis aNotedAfter = Millis())
  {
    Send(aNode, Millis(), StopRequested{ LocalTime(aNode) - aNotedAfter });
  }

  void Run(Millis aTime)
  {
    const Millis end = m_now + aTime;
    for (; m_now < end; m_now += kStep) {
      WakeNodes();
      StepServers();
      if (m_onStep) {
        m_onStep();
      }
      Deliver();
      ContinueReads();
      AnswerWatches();
      for (size_t i = 0; i < m_nodes.size(); ++i) {
        if (IsRunning(i)) {
          RunNode(i);
        }
      }
    }
  }

  // Passes an event to a node and performs its effects.
  void Dispatch(size_t aNode, const EntryEvent& aEvent)
  {
    m_nodes[aNode].m_lastRanAt = m_now;
    for (EntryEffect& effect :
         ReduceEntry(*m_nodes[aNode].m_state, LocalTime(aNode), aEvent)) {
      std::visit(
        Overloaded{
          [&](const WatchFeed& aCall) { Call(aNode, aCall); },
          [&](const ReadFeed& aCall) { Call(aNode, aCall); },
          [&](const WriteOwnRow& aCall) { Call(aNode, aCall); },
          [&](const SendPeerUpdate& aNews) { SendUpdate(aNode, aNews); },
          [&](const SendToServer& aSend) { Serve(aNode, aSend); },
          [&](const CancelExchange& aCancel) {
            m_crashingServers.Cancel(aCancel.m_handle);
          },
          [&](const ProbeServerNow& aProbe) { Probe(aNode, aProbe); },
          [&](const GroupOrder& aOrder) {
            if (m_onOrder) {
              m_onOrder(aNode, aOrder);
            }
          },
          [&](const AnswerCaller& aAnswer) {
            ++m_refused;
            m_lastRejection = aAnswer.m_code;
            if (aAnswer.m_code == ResultCode::HarmfulRequest) {
              m_refusedAsHarmful.push_back(m_sharedParts[aAnswer.m_handle]);
            }
          },
          [&](const ForwardAnswer&) { ++m_answered; },
          [&](const ExitProcess&) { m_nodes[aNode].m_isUp = false; },
          [](const auto&) {} },
        effect);
    }
    CheckInvariants(aNode);
    CheckClaims(aNode);
  }

  // Lets nodes claim what they don't know from now on, as a test has told one.
  void ExpectFalseClaim() { m_expectsFalseClaim = true; }

  // Returns what is wrong with the rows of a node by the store's history, each
  // row considered; an empty text if nothing is.
  std::string BrokenRows(size_t aNode) const
  {
    for (const Feed feed : { Feed::Operator, Feed::Servers, Feed::Own }) {
      std::string broken =
        m_history.BrokenClaim(StateOf(aNode).m_rows, feed, RowVersion());
      if (!broken.empty()) {
        return broken;
      }
    }
    return "";
  }

  const EntryState& StateOf(size_t aNode) const
  {
    return *m_nodes[aNode].m_state;
  }
  size_t NodeCount() const { return m_nodes.size(); }
  bool IsUp(size_t aNode) const { return m_nodes[aNode].m_isUp; }
  Millis Now() const { return m_now; }
  // Returns what a node's clock shows now, and when its process last ran, by
  // the world's clock.
  Millis LocalTime(size_t aNode) const
  {
    return m_now + m_nodes[aNode].m_clockOffset;
  }
  Millis LastRanAt(size_t aNode) const { return m_nodes[aNode].m_lastRanAt; }
  std::mt19937& Random() { return m_random; }
  // Returns a random number from 0 to aBound - 1.
  size_t Pick(size_t aBound)
  {
    return std::uniform_int_distribution<size_t>(0, aBound - 1)(m_random);
  }
  uint64_t RequestCount() const { return m_lastHandle; }
  uint64_t AnsweredCount() const { return m_answered; }
  uint64_t RejectedCount() const { return m_refused; }
  ResultCode LastRejection() const { return m_lastRejection; }
  static std::string ZoneName(size_t aZone)
  {
    return "zone" + std::to_string(aZone);
  }

  // Returns the first running node that the predicate holds for, or the number
  // of nodes.
  template<typename Predicate>
  size_t Find(const Predicate& aPredicate) const
  {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (m_nodes[i].m_isUp && aPredicate(*m_nodes[i].m_state)) {
        return i;
      }
    }
    return m_nodes.size();
  }
  size_t Holder() const
  {
    return Find(
      [](const EntryState& aState) { return aState.m_control.IsActive(); });
  }
  size_t FirstFollower() const
  {
    return Find(
      [](const EntryState& aState) { return aState.m_isFirstFollower; });
  }

  // Returns the requests that a server was sent, in order.
  const std::vector<ServedRequest>& ServedBy(const std::string& aHost)
  {
    return m_served[HostId(aHost)];
  }
  // Returns the greatest number of requests that a server was sent within any
  // window of a length, between aFrom and aUntil (exclusive).
  size_t MostServedWithin(const std::string& aHost,
                          Millis aWindow,
                          Millis aFrom,
                          Millis aUntil)
  {
    std::deque<Millis> recent;
    size_t most = 0;
    for (const ServedRequest& served : m_served[HostId(aHost)]) {
      if (served.m_at < aFrom || served.m_at >= aUntil) {
        continue;
      }
      recent.push_back(served.m_at);
      while (recent.front() + aWindow <= served.m_at) {
        recent.pop_front();
      }
      most = std::max(most, recent.size());
    }
    return most;
  }

  // Returns the number of retries since a time: the sends after the first one
  // of each request, over all servers.
  size_t RetriesSince(Millis aFrom) const
  {
    std::map<RequestHandle, size_t> sends;
    size_t retries = 0;
    for (const auto& [server, requests] : m_served) {
      for (const ServedRequest& served : requests) {
        const bool isRetry =
          served.m_at >= aFrom && ++sends[served.m_handle] > 1;
        retries += isRetry ? 1 : 0;
      }
    }
    return retries;
  }

  // Return the number of updates that a node has sent, and that were sent to
  // it.
  uint64_t UpdatesSent(size_t aNode) const
  {
    return m_nodes[aNode].m_updatesSent;
  }
  uint64_t UpdatesSentTo(size_t aNode) const
  {
    return m_nodes[aNode].m_updatesSentTo;
  }
  // Returns the number of bytes of updates that were sent to a node with a
  // limited link.
  uint64_t BytesReceived(size_t aNode) const
  {
    return m_nodes[aNode].m_receiving.m_bytes;
  }
  // Counts the bytes of all updates from now on.
  void CountUpdateBytes() { m_countsUpdateBytes = true; }
  uint64_t UpdateBytes() const { return m_updateBytes; }

  // Returns the number of calls to the store since the last call of this
  // method.
  int TakeCalls()
  {
    const int calls = m_calls;
    m_calls = 0;
    return calls;
  }

private:
  static constexpr int64_t kTickSteps = 5;
  static constexpr uint16_t kFirstPort = 9'000;
  static constexpr const char* kZonePrefix = "out/";
  static constexpr const char* kConfigKey = "config";
  // A call is given up this long after the time for which it asks the store to
  // wait.
  static constexpr Millis kAnswerTimeout = Millis(1'000);
  // Three heartbeats.
  static constexpr Millis kEntryLifetime = Millis(3'000);

  // One direction of a limited link.
  struct LinkQueue
  {
    // When it will have transferred all updates so far, in milliseconds.
    double m_freeAt = 0;
    uint64_t m_bytes = 0;
  };
  struct Node
  {
    std::unique_ptr<EntryState> m_state;
    bool m_isUp = true;
    bool m_isCutOff = false;
    StoreStatus m_storeStatus = StoreStatus::Ok;
    Millis m_frozenUntil;
    Millis m_startedAt;
    // When its process last ran.
    Millis m_lastRanAt;
    // How far its clock is ahead of the world's.
    Millis m_clockOffset;
    Millis m_tickOffset;
    // The number of times its process was started. Messages to an earlier run
    // are dropped.
    uint64_t m_run = 0;
    // The claims that were checked against the store's history.
    FeedVersions m_checkedUpTo;
    std::vector<EntryEvent> m_deferredEvents;
    uint64_t m_updatesSent = 0;
    uint64_t m_updatesSentTo = 0;
    bool m_readsPacked = true;
    bool m_tellsSendTime = true;
    // Zero: unlimited.
    size_t m_linkRate = 0;
    LinkQueue m_sending;
    LinkQueue m_receiving;
  };
  // An update that waits on a link, for one run of the receiver.
  struct HeldBack
  {
    uint64_t m_receiverRun = 0;
    PeerUpdateReceived m_update;
  };
  struct Watch
  {
    size_t m_node = 0;
    uint64_t m_run = 0;
    WatchFeed m_call;
    Millis m_until;
  };
  // A read of a whole feed, between two of its pages.
  struct PendingRead
  {
    size_t m_node = 0;
    uint64_t m_run = 0;
    ReadFeed m_call;
    PagedRead m_read;
    std::string m_from;
    size_t m_pages = 0;
    Millis m_nextAt;
  };
  struct StoreCopy
  {
    std::map<std::pair<Feed, std::string>, StoredRow> m_rows;
    uint64_t m_version = 0;
  };
  struct Message
  {
    Millis m_at;
    uint64_t m_number = 0;
    size_t m_node = 0;
    uint64_t m_run = 0;
    std::shared_ptr<const EntryEvent> m_event;

    bool operator<(const Message& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at
                                 : m_number > aOther.m_number;
    }
  };

  RowDecoder MakeDecoder() const
  {
    return [entries = m_entries,
            configs = m_configs](const StoredRow& aRow) -> FeedRow {
      if (aRow.m_feed == Feed::Own) {
        return OwnRow{ RowKey(aRow.m_key), aRow.m_version, aRow.m_value };
      }
      if (aRow.m_feed == Feed::Servers) {
        ServerRow row{ HostId(aRow.m_key), std::nullopt };
        if (aRow.m_value) {
          row.m_record = entries->at(std::stoul(*aRow.m_value));
        }
        return row;
      }
      if (aRow.m_key != kConfigKey) {
        const std::string prefix = kZonePrefix;
        return ZoneRow{ ZoneId(aRow.m_key.substr(prefix.size())),
                        aRow.m_value.has_value() };
      }
      return ConfigRow{ configs->at(std::stoul(aRow.m_value.value())) };
    };
  }

  void PublishConfig()
  {
    m_configs->push_back(m_config);
    Put(Feed::Operator,
        kConfigKey,
        std::to_string(m_configs->size() - 1) + ConfigText());
  }

  // Returns text of the set size, of routes with random names.
  std::string ConfigText() const
  {
    std::mt19937 random(m_options.m_seed);
    std::string text;
    while (text.size() < m_options.m_configBytes) {
      text += " {\"name\":\"route-" + std::to_string(random() % 100'000) +
              "\",\"host\":\"host-" + std::to_string(random() % 100) +
              ".example\",\"prefix\":\"/" + std::to_string(random()) +
              "/\",\"service\":\"service-" + std::to_string(random() % 100) +
              "\",\"kind\":\"idempotent\",\"timeout_ms\":10000,"
              "\"latency\":250,\"attempts\":2,\"priority\":1}";
    }
    return text;
  }

  // Checks what must hold of a node each time its groups have been found anew.
  void CheckInvariants(size_t aNode) const
  {
    const EntryState& state = *m_nodes[aNode].m_state;
    if (state.m_backendsUpdatedAt != LocalTime(aNode)) {
      return;
    }
    const std::string broken = BrokenInvariant(state);
    if (!broken.empty()) {
      FAIL_CHECK("at " << m_now.Count() << " ms: " << broken);
    }
  }

  // Checks that a node has every change up to the version up to which it says
  // that it knows all, whoever told it so.
  void CheckClaims(size_t aNode)
  {
    Node& node = m_nodes[aNode];
    const RowCache& rows = node.m_state->m_rows;
    for (const Feed feed : { Feed::Operator, Feed::Servers, Feed::Own }) {
      RowVersion& checked = node.m_checkedUpTo[static_cast<size_t>(feed)];
      if (rows.CompleteUpTo(feed) == checked) {
        continue;
      }
      const std::string broken = m_history.BrokenClaim(rows, feed, checked);
      checked = rows.CompleteUpTo(feed);
      if (!broken.empty() && !m_expectsFalseClaim && ++m_falseClaims == 1) {
        FAIL_CHECK("at " << m_now.Count() << " ms: node " << aNode << ", "
                         << broken);
      }
    }
  }

  bool IsRunning(size_t aNode) const
  {
    return m_nodes[aNode].m_isUp && m_nodes[aNode].m_frozenUntil <= m_now;
  }

  void RunNode(size_t aNode)
  {
    const Millis offset = m_now + m_nodes[aNode].m_tickOffset;
    const auto step = offset.Count() / kStep.Count();
    if (step % kTickSteps == 0) {
      Dispatch(aNode, EntryTick{});
    }
    std::uniform_real_distribution<double> chance(0, 1);
    const double seconds = static_cast<double>(kStep.Count()) / 1'000;
    if (m_options.m_requestsPerSecond > 0 &&
        chance(m_random) < m_options.m_requestsPerSecond * seconds) {
      SubmitRequest(aNode);
    }
  }

  // Sends a caller's request on the first route to the node.
  void SubmitRequest(size_t aNode)
  {
    const RouteRule& rule = m_config.m_routes.front();
    RequestReceived received;
    received.m_handle = RequestHandle(++m_lastHandle);
    received.m_path = rule.m_prefix;
    received.m_request.m_host = rule.m_host;
    received.m_fingerprint = Fingerprint(m_lastHandle);
    if (m_requestHook) {
      m_requestHook(received);
    }
    m_sharedParts[received.m_handle] = received.m_request.m_sharedParts;
    Dispatch(aNode, received);
  }

  void Serve(size_t aNode, const SendToServer& aSend)
  {
    m_served[aSend.m_server].push_back(
      ServedRequest{ m_now, aSend.m_handle, aNode });
    if (m_onRestart) {
      ServerExchange exchange;
      exchange.m_node = aNode;
      exchange.m_handle = aSend.m_handle;
      exchange.m_server = aSend.m_server;
      exchange.m_parts = m_sharedParts[aSend.m_handle];
      m_crashingServers.Start(m_now, std::move(exchange));
      return;
    }
    if (m_leaving.count(aSend.m_server) > 0) {
      Send(aNode, kStep, ServerLeaving{ aSend.m_handle });
    }
    ServerRateStated stated;
    stated.m_handle = aSend.m_handle;
    stated.m_rate = m_rateLimits[aSend.m_server];
    Send(aNode, kStep, stated);
    ExchangeEnded ended;
    ended.m_handle = aSend.m_handle;
    ended.m_status = 200;
    if (m_isFailing) {
      ended.m_end = ExchangeEnd::ResetBeforeAnswer;
      ended.m_status = 0;
    }
    Send(aNode, m_options.m_answerTime, ended);
  }

  // A server that is down refuses the connection.
  void Probe(size_t aNode, const ProbeServerNow& aProbe)
  {
    if (m_onProbe) {
      m_onProbe(aNode, aProbe);
      return;
    }
    if (!m_onRestart) {
      return;
    }
    const HostId& host = aProbe.m_server.m_host;
    const ServerProcess asked = aProbe.m_server.Process();
    Result<ServerRecord> result = aProbe.m_server;
    if (m_crashingServers.IsDown(host)) {
      result = Error{ ResultCode::BackendFailed, "refused" };
    }
    Send(aNode,
         kStep,
         ServerProbed{ host, asked, std::move(result), LocalTime(aNode) });
  }

  void StepServers()
  {
    for (ServerEvent& event : m_crashingServers.Step(m_now)) {
      Send(event.m_node, kStep, std::move(event.m_event));
    }
    const std::vector<ServerCrash>& crashes = m_crashingServers.Crashes();
    while (m_restarted < crashes.size() &&
           crashes[m_restarted].m_at + kEntryLifetime <= m_now) {
      const HostId server = crashes[m_restarted].m_server;
      ++m_restarted;
      RemoveServer(server.Value());
      m_onRestart(server);
    }
  }

  void Put(Feed aFeed,
           const std::string& aKey,
           std::optional<std::string> aText)
  {
    StoredRow& row = m_rows[{ aFeed, aKey }];
    row.m_feed = aFeed;
    row.m_key = aKey;
    row.m_version = RowVersion(++m_version);
    row.m_value = std::move(aText);
    m_history.Record(aFeed, aKey, m_version, row.m_value.has_value());
  }

  void Send(size_t aNode, Millis aDelay, EntryEvent aEvent)
  {
    m_messages.push(
      Message{ m_now + aDelay,
               ++m_lastMessage,
               aNode,
               m_nodes[aNode].m_run,
               std::make_shared<const EntryEvent>(std::move(aEvent)) });
  }

  // Fails a call that asks the store to wait for aWait if the store does not
  // serve the node. Returns whether it failed.
  template<typename Answer>
  bool FailIfUnavailable(size_t aNode, Answer aAnswer, Millis aWait = Millis())
  {
    ++m_calls;
    const StoreStatus status = m_nodes[aNode].m_storeStatus;
    aAnswer.m_status = status;
    if (status == StoreStatus::Refused) {
      Send(aNode, kStep, aAnswer);
    } else if (status == StoreStatus::Unknown) {
      Send(aNode, aWait + kAnswerTimeout, aAnswer);
    }
    return status != StoreStatus::Ok;
  }

  FeedAnswered MakeAnswer(Feed aFeed, RowVersion aAfter) const
  {
    FeedAnswered answer;
    answer.m_feed = aFeed;
    answer.m_status = StoreStatus::Ok;
    answer.m_version = MakeStoreVersion<StoreVersion>(m_era, m_version);
    answer.m_storeTime = m_now;
    for (const auto& [key, row] : m_rows) {
      if (row.m_feed == aFeed && row.m_version > aAfter) {
        answer.m_rows.push_back(row);
        answer.m_rows.back().m_version =
          MakeStoreVersion<RowVersion>(m_era, row.m_version.Value());
      }
    }
    return answer;
  }

  // Returns the rows that exist from a key on, up to one page of them.
  FeedPage MakePage(Feed aFeed, const std::string& aFrom) const
  {
    FeedPage page;
    page.m_answer = MakeAnswer(aFeed, RowVersion());
    std::vector<StoredRow> rows;
    for (StoredRow& row : page.m_answer.m_rows) {
      if (row.m_value && row.m_key >= aFrom) {
        rows.push_back(std::move(row));
      }
    }
    page.m_isTruncated = rows.size() > m_options.m_pageRows;
    rows.resize(std::min(rows.size(), m_options.m_pageRows));
    page.m_answer.m_rows = std::move(rows);
    return page;
  }

  void Call(size_t aNode, const ReadFeed& aCall)
  {
    FeedAnswered failed;
    failed.m_feed = aCall.m_feed;
    failed.m_call = aCall.m_call;
    failed.m_isWhole = true;
    if (FailIfUnavailable(aNode, failed)) {
      return;
    }
    PendingRead read{
      aNode, m_nodes[aNode].m_run, aCall, PagedRead(aCall.m_feed), "", 0, m_now
    };
    if (!ContinueRead(read)) {
      m_reads.push_back(std::move(read));
    }
  }

  // Makes the next page of a read. Returns whether the read has ended.
  bool ContinueRead(PendingRead& aRead)
  {
    const Feed feed = aRead.m_call.m_feed;
    FeedPage page = MakePage(feed, aRead.m_from);
    const StoreStatus status = m_nodes[aRead.m_node].m_storeStatus;
    page.m_answer.m_status = status;
    const std::optional<std::string> next = aRead.m_read.Add(std::move(page));
    ++aRead.m_pages;
    if (m_onPage && status == StoreStatus::Ok) {
      m_onPage(aRead.m_node, feed, aRead.m_pages);
    }
    if (next) {
      aRead.m_from = *next;
      aRead.m_nextAt = m_now + kStep;
      return false;
    }
    FeedAnswered answer = aRead.m_read.TakeAnswer();
    answer.m_call = aRead.m_call.m_call;
    const bool isSilent = status == StoreStatus::Unknown;
    Send(aRead.m_node, isSilent ? kAnswerTimeout : kStep, answer);
    return true;
  }

  void ContinueReads()
  {
    for (auto read = m_reads.begin(); read != m_reads.end();) {
      const Node& node = m_nodes[read->m_node];
      const bool isGone = !node.m_isUp || node.m_run != read->m_run;
      const bool isDue = m_now >= read->m_nextAt;
      if (isGone || (isDue && ContinueRead(*read))) {
        read = m_reads.erase(read);
      } else {
        ++read;
      }
    }
  }

  void Call(size_t aNode, const WatchFeed& aCall)
  {
    FeedAnswered answer;
    answer.m_call = aCall.m_call;
    answer.m_feed = aCall.m_feed;
    if (FailIfUnavailable(aNode, answer, aCall.m_wait)) {
      return;
    }
    if (EraOf(aCall.m_after) != m_era ||
        NumberOf(aCall.m_after) < m_historyFrom) {
      answer.m_status = StoreStatus::HistoryGone;
      Send(aNode, kStep, answer);
    } else {
      m_watches.push_back(
        Watch{ aNode, m_nodes[aNode].m_run, aCall, m_now + aCall.m_wait });
    }
  }

  void Call(size_t aNode, const WriteOwnRow& aCall)
  {
    OwnRowWritten written;
    written.m_operation = aCall.m_operation;
    written.m_key = aCall.m_key;
    if (FailIfUnavailable(aNode, written)) {
      return;
    }
    const auto row = m_rows.find({ Feed::Own, aCall.m_key.Value() });
    const bool isThere = row != m_rows.end() && row->second.m_value;
    const RowVersion version = isThere ? row->second.m_version : RowVersion();
    // The store itself compares numbers only.
    if (aCall.m_expected && NumberOf(*aCall.m_expected) != version.Value()) {
      written.m_status = StoreStatus::Conflict;
    } else {
      const bool isOfOtherEra = aCall.m_expected &&
                                NumberOf(*aCall.m_expected) != 0 &&
                                EraOf(*aCall.m_expected) != m_era;
      Put(Feed::Own, aCall.m_key.Value(), aCall.m_value);
      written.m_status = isOfOtherEra ? StoreStatus::Unknown : StoreStatus::Ok;
      written.m_version = MakeStoreVersion<RowVersion>(m_era, m_version);
    }
    written.m_storeTime = m_now;
    Send(aNode, kStep, written);
  }

  // Lets a call that waits for changes get no answer, as the store has ceased
  // to answer the node in the meantime.
  void LoseAnswer(const Watch& aWatch)
  {
    FeedAnswered answer;
    answer.m_call = aWatch.m_call.m_call;
    answer.m_feed = aWatch.m_call.m_feed;
    answer.m_status = StoreStatus::Unknown;
    Send(aWatch.m_node, aWatch.m_until + kAnswerTimeout - m_now, answer);
  }

  void AnswerWatches()
  {
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
      const Node& node = m_nodes[watch->m_node];
      if (!node.m_isUp || node.m_run != watch->m_run) {
        watch = m_watches.erase(watch);
        continue;
      }
      if (node.m_storeStatus == StoreStatus::Unknown) {
        LoseAnswer(*watch);
        watch = m_watches.erase(watch);
        continue;
      }
      const bool isDue = m_now >= watch->m_until;
      const uint64_t after = NumberOf(watch->m_call.m_after);
      if (!isDue && after >= m_version) {
        ++watch;
        continue;
      }
      FeedAnswered answer = MakeAnswer(watch->m_call.m_feed, RowVersion(after));
      answer.m_call = watch->m_call.m_call;
      if (answer.m_rows.empty() && !isDue) {
        ++watch;
        continue;
      }
      Send(watch->m_node, kStep, answer);
      watch = m_watches.erase(watch);
    }
  }

  void SendUpdate(size_t aFrom, const SendPeerUpdate& aNews)
  {
    const size_t bytes = m_countsUpdateBytes || m_hasLimitedLinks
                           ? EncodeNodeNews(*aNews.m_update).size()
                           : 0;
    NodeNews received = *aNews.m_update;
    received.m_readsPacked = m_nodes[aFrom].m_readsPacked;
    for (const UpdateReceiver& receiver : aNews.m_receivers) {
      Tell(aFrom,
           receiver.m_endpoint.m_port - kFirstPort,
           PeerUpdateReceived{ received, receiver.m_echo },
           bytes);
    }
  }

  void Tell(size_t aFrom,
            size_t aTo,
            const PeerUpdateReceived& aNews,
            size_t aBytes)
  {
    ++m_nodes[aFrom].m_updatesSent;
    ++m_nodes[aTo].m_updatesSentTo;
    m_updateBytes += m_countsUpdateBytes ? aBytes : 0;
    std::uniform_real_distribution<double> chance(0, 1);
    const bool isLost =
      m_nodes[aFrom].m_isCutOff || m_nodes[aTo].m_isCutOff ||
      m_cuts.count(std::minmax(aFrom, aTo)) > 0 ||
      (m_options.m_lossRate > 0 && chance(m_random) < m_options.m_lossRate);
    if (isLost) {
      return;
    }
    std::uniform_int_distribution<int64_t> delay(m_options.m_leastDelay.Count(),
                                                 m_options.m_mostDelay.Count());
    if (const std::optional<Millis> transfer =
          TransferTime(aFrom, aTo, aBytes)) {
      PeerUpdateReceived received = aNews;
      if (!m_nodes[aTo].m_readsPacked) {
        ClearPacked(received.m_update.m_rowChanges);
        for (Bulletin& bulletin : received.m_update.m_bulletins) {
          ClearPacked(bulletin.m_rowChanges);
        }
      }
      if (!m_nodes[aFrom].m_tellsSendTime || !m_nodes[aTo].m_tellsSendTime) {
        received.m_update.m_sentAt.reset();
        received.m_update.m_requestsEcho = false;
        received.m_echo.reset();
      }
      const Millis way = Millis(delay(m_random)) + *transfer;
      const auto heldBack = m_heldBack.find({ aFrom, aTo });
      if (heldBack != m_heldBack.end()) {
        heldBack->second.push_back(
          HeldBack{ m_nodes[aTo].m_run, std::move(received) });
      } else {
        Send(aTo, way, std::move(received));
      }
    }
  }

  static void ClearPacked(std::vector<RowChanges>& aChanges)
  {
    for (RowChanges& changes : aChanges) {
      for (StoredRow& row : changes.m_rows) {
        if (row.m_packed) {
          row.m_packed.reset();
          row.m_value = "";
        }
      }
    }
  }

  // Returns how long the links of the sender and the receiver take until they
  // have transferred an update, or nothing if the update is lost.
  std::optional<Millis> TransferTime(size_t aFrom, size_t aTo, size_t aBytes)
  {
    constexpr Millis kCallTimeout = Millis(1'000);
    constexpr size_t kSocketBytes = 64 * 1024;
    Node& sender = m_nodes[aFrom];
    Node& receiver = m_nodes[aTo];
    if (sender.m_linkRate == 0 && receiver.m_linkRate == 0) {
      return Millis();
    }
    const bool isCutShort =
      aBytes > kSocketBytes && receiver.m_frozenUntil > m_now + kCallTimeout;
    const auto sentAt = Transfer(sender.m_sending, sender, m_now, aBytes);
    if (!sentAt || isCutShort) {
      return std::nullopt;
    }
    const auto receivedAt =
      Transfer(receiver.m_receiving, receiver, *sentAt, aBytes);
    return receivedAt ? std::optional<Millis>(*receivedAt - m_now)
                      : std::nullopt;
  }

  // Returns when one direction of a node's link has transferred a message that
  // is ready at a time, or nothing if the sender gives up before.
  std::optional<Millis> Transfer(LinkQueue& aQueue,
                                 const Node& aNode,
                                 Millis aReadyAt,
                                 size_t aBytes) const
  {
    constexpr Millis kCallTimeout = Millis(1'000);
    if (aNode.m_linkRate == 0) {
      return aReadyAt;
    }
    aQueue.m_bytes += aBytes;
    const auto rate = static_cast<double>(aNode.m_linkRate);
    const double end =
      std::max(static_cast<double>(aReadyAt.Count()), aQueue.m_freeAt) +
      static_cast<double>(aBytes) / rate;
    const auto limit = static_cast<double>((m_now + kCallTimeout).Count());
    aQueue.m_freeAt = std::min(end, limit);
    return end <= limit
             ? std::optional<Millis>(Millis(static_cast<int64_t>(end)))
             : std::nullopt;
  }

  // Passes deferred events to the nodes that run again.
  void WakeNodes()
  {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (m_nodes[i].m_deferredEvents.empty() || !IsRunning(i)) {
        continue;
      }
      const std::vector<EntryEvent> deferred =
        std::move(m_nodes[i].m_deferredEvents);
      m_nodes[i].m_deferredEvents.clear();
      for (const EntryEvent& event : deferred) {
        Dispatch(i, event);
      }
    }
  }

  void Deliver()
  {
    while (!m_messages.empty() && m_messages.top().m_at <= m_now) {
      const Message due = m_messages.top();
      m_messages.pop();
      Node& node = m_nodes[due.m_node];
      if (!node.m_isUp || node.m_run != due.m_run) {
        continue;
      }
      if (IsRunning(due.m_node)) {
        Dispatch(due.m_node, *due.m_event);
      } else {
        node.m_deferredEvents.push_back(*due.m_event);
      }
    }
  }

  FleetOptions m_options;
  std::mt19937 m_random;
  Millis m_now{ 1'000'000 };
  std::vector<Node> m_nodes;
  GatewayConfig m_config;
  // The contents of the store's rows; a row holds an index into its list.
  std::shared_ptr<std::vector<GatewayConfig>> m_configs =
    std::make_shared<std::vector<GatewayConfig>>();
  std::shared_ptr<std::vector<ServerRecord>> m_entries =
    std::make_shared<std::vector<ServerRecord>>();
  std::map<std::pair<Feed, std::string>, StoredRow> m_rows;
  uint64_t m_version = 0;
  StoreEra m_era{ 1 };
  uint64_t m_historyFrom = 0;
  StoreHistory m_history;
  StoreCopy m_copy;
  uint64_t m_lastIncarnation = 0;
  uint64_t m_lastMessage = 0;
  uint64_t m_lastHandle = 0;
  uint64_t m_answered = 0;
  uint64_t m_refused = 0;
  ResultCode m_lastRejection = ResultCode::Ok;
  std::deque<Watch> m_watches;
  std::list<PendingRead> m_reads;
  std::function<void(size_t, Feed, size_t)> m_onPage;
  // Claims that a node made of rows that it did not have.
  size_t m_falseClaims = 0;
  bool m_expectsFalseClaim = false;
  std::priority_queue<Message> m_messages;
  std::map<HostId, std::vector<ServedRequest>> m_served;
  std::set<HostId> m_leaving;
  std::map<HostId, std::optional<double>> m_rateLimits;
  std::set<std::pair<size_t, size_t>> m_cuts;
  // By sender and receiver.
  std::map<std::pair<size_t, size_t>, std::vector<HeldBack>> m_heldBack;
  bool m_hasLimitedLinks = false;
  bool m_countsUpdateBytes = false;
  uint64_t m_updateBytes = 0;
  bool m_isFailing = false;
  CrashingServers m_crashingServers;
  std::function<void(const HostId&)> m_onRestart;
  std::function<void(RequestReceived&)> m_requestHook;
  std::function<void(size_t, const GroupOrder&)> m_onOrder;
  std::function<void(size_t, const ProbeServerNow&)> m_onProbe;
  std::function<void()> m_onStep;
  std::map<RequestHandle, std::vector<PromptPartId>> m_sharedParts;
  std::vector<std::vector<PromptPartId>> m_refusedAsHarmful;
  // The number of crashes after which the server was started again.
  size_t m_restarted = 0;
  int m_calls = 0;
};

} // namespace briarglade
