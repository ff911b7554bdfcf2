// A small world for tests of non-idempotent calls, in virtual time: nodes that
// run ReduceActions, a table, an object store and a service that counts what it
// ran. Faults are chosen by hooks. An oracle judges what callers were told by
// what the service really did.

#pragma once

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "briarglade/actions/actions_state.h"
#include "briarglade/actions/reduce_actions.h"
#include "briarglade/base/overloaded.h"
#include "briarglade/routing/outcome.h"

namespace briarglade::testing {

// What happens to one operation of a store.
enum class StoreFault
{
  None,
  // It never leaves.
  Refused,
  // It takes effect and the answer is lost.
  AnswerLost,
  // It is lost on its way.
  RequestLost,
  // It is reported lost, and takes effect later.
  LandsLate,
  // This one and all others for a while never leave.
  Outage
};
constexpr int kStoreFaults = 6;

// What happens to one attempt at the service.
enum class ServiceFault
{
  None,
  AnswersFailure,
  ConnectRefused,
  ResetBeforeSend,
  RefusedByServer,
  ResetNotRun,
  ResetRan,
  Truncated,
  WrongAttempt,
  TimeoutNotRun,
  TimeoutRan,
  // As TimeoutRan, and the answer comes after all.
  LateAnswer
};
constexpr int kServiceFaults = 12;

// How the service's end of it shows at the node.
struct ServiceRow
{
  bool m_runs;
  ExchangeEnd m_end;
  uint16_t m_status;
};

inline ServiceRow DescribeFault(ServiceFault aFault)
{
  switch (aFault) {
    case ServiceFault::None:
      return { true, ExchangeEnd::Whole, 200 };
    case ServiceFault::AnswersFailure:
      return { true, ExchangeEnd::Whole, 500 };
    case ServiceFault::ConnectRefused:
      return { false, ExchangeEnd::ConnectRefused, 0 };
    case ServiceFault::ResetBeforeSend:
      return { false, ExchangeEnd::ResetBeforeSend, 0 };
    case ServiceFault::RefusedByServer:
      return { false, ExchangeEnd::RefusedByServer, 503 };
    case ServiceFault::ResetNotRun:
      return { false, ExchangeEnd::ResetBeforeAnswer, 0 };
    case ServiceFault::ResetRan:
      return { true, ExchangeEnd::ResetBeforeAnswer, 0 };
    case ServiceFault::Truncated:
      return { true, ExchangeEnd::Truncated, 200 };
    case ServiceFault::WrongAttempt:
      return { true, ExchangeEnd::WrongAnswer, 200 };
    case ServiceFault::TimeoutNotRun:
      return { false, ExchangeEnd::Timeout, 0 };
    case ServiceFault::TimeoutRan:
    case ServiceFault::LateAnswer:
      return { true, ExchangeEnd::Timeout, 0 };
  }
  return { true, ExchangeEnd::Whole, 200 };
}

// One call as a caller sent it, and what came of it.
struct Sending
{
  RequestArrived m_request;
  size_t m_node = 0;
  // The incarnation that took it.
  uint64_t m_incarnation = 0;
  std::vector<FinishRequest> m_told;
  std::shared_ptr<const StoredAnswer> m_answer;
  // Runs of the service that this sending caused.
  int m_runs = 0;
  bool m_isGone = false;
};

class World
{
public:
  static constexpr Millis kStoreTime = Millis(1);
  static constexpr Millis kStoreTimeout = Millis(1'000);
  static constexpr Millis kLateBy = Millis(3'000);
  static constexpr Millis kOutageTime = Millis(5'000);
  static constexpr Millis kServiceTime = Millis(10);

  // Fault hooks; a null one means no faults.
  std::function<StoreFault(size_t aNode, const TableWrite&)> m_onWrite;
  std::function<StoreFault(size_t aNode)> m_onRead;
  std::function<StoreFault(size_t aNode)> m_onObject;
  // For writes of the retention clock.
  std::function<StoreFault(size_t aNode)> m_onClock;
  std::function<ServiceFault(const RequestArrived&, int aTry)> m_onAttempt;
  // Called when the service has run a call, before the node knows.
  std::function<void(size_t aNode)> m_afterRun;
  // Called when a node has been asked to run a call, before it sends it.
  std::function<void(size_t aNode)> m_beforeSend;
  // One answer in so many is large.
  uint64_t m_largeEvery = 1;

  explicit World(size_t aNodes,
                 size_t aBodyBytes = 0,
                 Millis aTick = Millis(250))
    : m_bodyBytes(aBodyBytes)
    , m_tick(aTick)
  {
    for (size_t i = 0; i < aNodes; ++i) {
      m_nodes.emplace_back();
      Restart(i);
    }
    RunFor(m_tick * 4);
  }

  Millis Now() const { return m_now; }
  void Outage() { m_outageUntil = m_now + kOutageTime; }
  const ActionsState& State(size_t aNode) { return m_nodes[aNode].m_state; }
  const std::map<std::string, Sending>& Sendings() const { return m_sendings; }
  size_t RowCount() const
  {
    return static_cast<size_t>(
      std::count_if(m_rows.begin(), m_rows.end(), [](const auto& aEntry) {
        return aEntry.second.m_exists;
      }));
  }
  size_t ObjectCount() const { return m_objects.size(); }

  // Loses the node's memory, its timers and all that is on the way to it.
  void Restart(size_t aNode)
  {
    Node& node = m_nodes[aNode];
    node.m_state = MakeActionsState(NodeId("node-" + std::to_string(aNode)),
                                    ++m_incarnations);
    node.m_paused = false;
    node.m_held.clear();
    Tick(aNode, m_incarnations);
  }
  void Pause(size_t aNode, Millis aTime)
  {
    if (!m_nodes[aNode].m_paused) {
      m_nodes[aNode].m_paused = true;
      At(aTime, [this, aNode, run = RunOf(aNode)] { Resume(aNode, run); });
    }
  }

  // Sends a call to a node; returns its request id.
  std::string Send(size_t aNode,
                   const std::string& aKey,
                   uint64_t aBody,
                   Millis aTimeAllowed,
                   const std::string& aAccount = "westsign")
  {
    Sending sending;
    RequestArrived& request = sending.m_request;
    request.m_request = RequestId("r" + std::to_string(m_sendings.size()));
    request.m_account = AccountId(aAccount);
    request.m_target.m_service = ServiceId("order-desk");
    request.m_operation = "book";
    request.m_idempotent = false;
    request.m_key = IdempotencyKey(aKey);
    request.m_fingerprint = Fingerprint(aBody);
    request.m_deadline = m_now + aTimeAllowed;
    sending.m_node = aNode;
    sending.m_incarnation = RunOf(aNode);
    std::string id = request.m_request.Value();
    m_sendings[id] = sending;
    Deliver(aNode, RunOf(aNode), sending.m_request);
    return id;
  }
  void Leave(const std::string& aRequest)
  {
    Sending& sending = m_sendings.at(aRequest);
    sending.m_isGone = true;
    Deliver(sending.m_node,
            sending.m_incarnation,
            CallerDisconnected{ sending.m_request.m_request });
  }

  void RunFor(Millis aTime)
  {
    const Millis end = m_now + aTime;
    while (!m_timeline.empty() && m_timeline.begin()->first <= end) {
      m_now = m_timeline.begin()->first;
      const std::function<void()> action =
        std::move(m_timeline.begin()->second);
      m_timeline.erase(m_timeline.begin());
      action();
    }
    m_now = end;
  }
  void At(Millis aDelay, std::function<void()> aAction)
  {
    m_timeline.emplace(m_now + aDelay, std::move(aAction));
  }

  // The only code told to a sending, or Internal if there was none.
  ResultCode Told(const std::string& aRequest) const
  {
    const Sending& sending = m_sendings.at(aRequest);
    return sending.m_told.empty() ? ResultCode::Internal
                                  : sending.m_told.front().m_code;
  }
  int Runs(const std::string& aKey) const
  {
    const auto found = m_runs.find(aKey);
    return found == m_runs.end() ? 0 : found->second;
  }

  // Judges everything that was told by what really ran. Call it once nothing is
  // left to happen.
  void Judge() const
  {
    for (const auto& [key, runs] : m_runs) {
      CHECK(runs <= 1);
    }
    for (const auto& entry : m_sendings) {
      JudgeSending(entry.second);
    }
  }

private:
  struct Node
  {
    ActionsState m_state;
    bool m_paused = false;
    std::vector<std::function<void()>> m_held;
  };
  struct Row
  {
    TableRow m_row;
    bool m_exists = false;
  };

  uint64_t RunOf(size_t aNode) const
  {
    return m_nodes[aNode].m_state.m_incarnation;
  }

  void JudgeSending(const Sending& aSending) const
  {
    INFO("sending " << aSending.m_request.m_request.Value());
    const bool wasLost = RunOf(aSending.m_node) != aSending.m_incarnation;
    CHECK(aSending.m_told.size() <= 1);
    CHECK((wasLost || aSending.m_told.size() == 1));
    if (aSending.m_told.empty()) {
      return;
    }
    const FinishRequest& told = aSending.m_told.front();
    const Outcome outcome = DescribeResultCode(told.m_code).m_outcome;
    const std::string& key = aSending.m_request.m_key.Value();
    if (outcome == Outcome::NotRun) {
      CHECK(aSending.m_runs == 0);
    }
    if (outcome == Outcome::Done) {
      CHECK(Runs(key) == 1);
      REQUIRE(aSending.m_answer);
      const std::shared_ptr<const StoredAnswer>& ran = m_answers.at(key);
      CHECK(aSending.m_answer->m_body == ran->m_body);
      CHECK(aSending.m_answer->m_status == ran->m_status);
      CHECK(m_bodies.at(key) == aSending.m_request.m_fingerprint.Value());
    }
  }

  void Deliver(size_t aNode, uint64_t aRun, ActionsEvent aEvent)
  {
    OnNode(aNode, aRun, [this, aNode, event = std::move(aEvent)] {
      Node& node = m_nodes[aNode];
      CarryOut(aNode, ReduceActions(node.m_state, m_now, event));
    });
  }
  // Does something on a node: later if it is paused, never if it has died.
  void OnNode(size_t aNode, uint64_t aRun, std::function<void()> aAction)
  {
    if (RunOf(aNode) != aRun) {
      return;
    }
    if (m_nodes[aNode].m_paused) {
      m_nodes[aNode].m_held.push_back(std::move(aAction));
    } else {
      aAction();
    }
  }
  void Resume(size_t aNode, uint64_t aRun)
  {
    Node& node = m_nodes[aNode];
    if (RunOf(aNode) != aRun) {
      return;
    }
    node.m_paused = false;
    std::vector<std::function<void()>> held;
    held.swap(node.m_held);
    for (std::function<void()>& action : held) {
      OnNode(aNode, aRun, std::move(action));
    }
  }
  void Tick(size_t aNode, uint64_t aRun)
  {
    if (RunOf(aNode) != aRun) {
      return;
    }
    if (!m_nodes[aNode].m_paused) {
      Deliver(aNode, aRun, ActionsTick{});
    }
    At(m_tick, [this, aNode, aRun] { Tick(aNode, aRun); });
  }

  void CarryOut(size_t aNode, const ActionsEffects& aEffects)
  {
    const uint64_t run = RunOf(aNode);
    for (const ActionsEffect& effect : aEffects) {
      std::visit(
        Overloaded{
          [&](const TableWrite& aWrite) { Carry(aNode, run, aWrite); },
          [&](const TableRead& aRead) { Carry(aNode, run, aRead); },
          [&](const ObjectWrite& aWrite) { Carry(aNode, run, aWrite); },
          [&](const ObjectRead& aRead) { Carry(aNode, run, aRead); },
          [&](const RunAction& aAction) {
            if (m_beforeSend) {
              m_beforeSend(aNode);
            }
            At(Millis(1), [this, aNode, run, call = aAction.m_request] {
              OnNode(aNode, run, [=] { Attempt(aNode, run, call, 1); });
            });
          },
          [&](const FinishRequest& aFinish) { Tell(aFinish); },
          [](const LogEvent&) {} },
        effect);
    }
  }
  void Tell(const FinishRequest& aFinish)
  {
    Sending& sending = m_sendings.at(aFinish.m_request.Value());
    sending.m_told.push_back(aFinish);
    sending.m_answer = aFinish.m_replay;
    const auto attempt = m_attempts.find(aFinish.m_attempt.Value());
    if (!aFinish.m_replay && attempt != m_attempts.end()) {
      sending.m_answer = attempt->second;
    }
  }

  // The stores. A fault hook is asked once for each operation.
  template<typename ResultType>
  void CarryStore(size_t aNode,
                  uint64_t aRun,
                  StoreFault aFault,
                  std::function<ResultType()> aApply,
                  ResultType aFailed)
  {
    if (aFault == StoreFault::Outage) {
      Outage();
    }
    const auto deliver = [this, aNode, aRun](Millis aDelay, ResultType aEnd) {
      At(aDelay, [=] { Deliver(aNode, aRun, aEnd); });
    };
    if (aFault == StoreFault::Refused || m_now < m_outageUntil) {
      aFailed.m_status = TableStatus::Unreachable;
      deliver(kStoreTime, aFailed);
      return;
    }
    aFailed.m_status = TableStatus::Unknown;
    if (aFault != StoreFault::None) {
      deliver(kStoreTimeout, aFailed);
    }
    if (aFault == StoreFault::RequestLost) {
      return;
    }
    const bool isTold = aFault == StoreFault::None;
    const Millis delay = aFault == StoreFault::LandsLate ? kLateBy : kStoreTime;
    At(delay, [=] {
      const ResultType result = aApply();
      if (isTold) {
        deliver(kStoreTime, result);
      }
    });
  }
  void Carry(size_t aNode, uint64_t aRun, const TableWrite& aWrite)
  {
    const bool isAction = aWrite.m_key.Value().rfind(kActionPrefix, 0) == 0;
    StoreFault fault = StoreFault::None;
    if (isAction && m_onWrite) {
      fault = m_onWrite(aNode, aWrite);
    } else if (!isAction && m_onClock) {
      fault = m_onClock(aNode);
    }
    TableResult failed;
    failed.m_operation = aWrite.m_operation;
    CarryStore<TableResult>(
      aNode, aRun, fault, [=] { return Apply(aWrite); }, failed);
  }
  void Carry(size_t aNode, uint64_t aRun, const TableRead& aRead)
  {
    const StoreFault fault = m_onRead ? m_onRead(aNode) : StoreFault::None;
    TableResult failed;
    failed.m_operation = aRead.m_operation;
    CarryStore<TableResult>(
      aNode, aRun, fault, [=] { return Apply(aRead); }, failed);
  }
  void Carry(size_t aNode, uint64_t aRun, const ObjectWrite& aWrite)
  {
    const StoreFault fault = m_onObject ? m_onObject(aNode) : StoreFault::None;
    ObjectResult failed;
    failed.m_operation = aWrite.m_operation;
    CarryStore<ObjectResult>(
      aNode, aRun, fault, [=] { return Apply(aWrite); }, failed);
  }
  void Carry(size_t aNode, uint64_t aRun, const ObjectRead& aRead)
  {
    const StoreFault fault = m_onObject ? m_onObject(aNode) : StoreFault::None;
    ObjectResult failed;
    failed.m_operation = aRead.m_operation;
    CarryStore<ObjectResult>(
      aNode, aRun, fault, [=] { return Apply(aRead); }, failed);
  }
  TableResult Apply(const TableWrite& aWrite)
  {
    Row& row = m_rows[aWrite.m_key.Value()];
    TableResult result;
    result.m_operation = aWrite.m_operation;
    const RowVersion present =
      row.m_exists ? row.m_row.m_version : RowVersion();
    if (present != aWrite.m_expected) {
      result.m_status = TableStatus::Conflict;
      // Every second conflict brings the row along.
      if (row.m_exists && ++m_conflicts % 2 == 0) {
        result.m_rows.push_back(row.m_row);
      }
      return result;
    }
    row.m_exists = !aWrite.m_delete;
    row.m_row = TableRow{ aWrite.m_key,
                          row.m_row.m_version.Next(),
                          aWrite.m_operation,
                          aWrite.m_value,
                          aWrite.m_delete };
    result.m_status = TableStatus::Ok;
    result.m_rows.push_back(row.m_row);
    return result;
  }
  TableResult Apply(const TableRead& aRead)
  {
    TableResult result;
    result.m_operation = aRead.m_operation;
    result.m_status = TableStatus::Ok;
    const std::string& key = aRead.m_key.Value();
    for (auto row = m_rows.lower_bound(key);
         row != m_rows.end() && row->first.rfind(key, 0) == 0;
         ++row) {
      const bool isWanted = aRead.m_isPrefix || row->first == key;
      if (isWanted && row->second.m_exists) {
        result.m_rows.push_back(row->second.m_row);
      }
    }
    if (!aRead.m_isPrefix && result.m_rows.empty()) {
      result.m_status = TableStatus::NotFound;
    }
    return result;
  }
  ObjectResult Apply(const ObjectWrite& aWrite)
  {
    m_objects.erase(aWrite.m_name.Value());
    if (aWrite.m_value) {
      m_objects[aWrite.m_name.Value()] = *aWrite.m_value;
    }
    return ObjectResult{ aWrite.m_operation, TableStatus::Ok, nullptr };
  }
  ObjectResult Apply(const ObjectRead& aRead)
  {
    const auto found = m_objects.find(aRead.m_name.Value());
    if (found == m_objects.end()) {
      return ObjectResult{ aRead.m_operation, TableStatus::NotFound, nullptr };
    }
    return ObjectResult{ aRead.m_operation,
                         TableStatus::Ok,
                         std::make_shared<const std::string>(found->second) };
  }

  // A routing of one server, and the service. The request leaves in the step in
  // which the attempt starts; whatever follows may find the node dead.
  void Attempt(size_t aNode,
               uint64_t aRun,
               const RequestArrived& aCall,
               int aTry)
  {
    if (m_now >= aCall.m_deadline) {
      Finish(aNode, aRun, aCall, ResultCode::QueueDeadline, "", nullptr);
      return;
    }
    const ServiceFault fault =
      m_onAttempt ? m_onAttempt(aCall, aTry) : ServiceFault::None;
    const ServiceRow row = DescribeFault(fault);
    std::shared_ptr<const StoredAnswer> answer;
    if (row.m_runs) {
      answer = RunService(aCall, row.m_status == 0 ? 200 : row.m_status);
      if (m_afterRun) {
        At(Millis(1), [this, aNode] { m_afterRun(aNode); });
      }
    }
    const bool isTimeout = row.m_end == ExchangeEnd::Timeout;
    const Millis delay = isTimeout ? aCall.m_deadline - m_now : kServiceTime;
    const std::string attempt =
      aCall.m_request.Value() + "/" + std::to_string(aTry);
    At(delay, [=] {
      OnNode(aNode, aRun, [=] {
        EndAttempt(aNode, aRun, aCall, aTry, row, attempt, answer);
      });
    });
    if (fault == ServiceFault::LateAnswer) {
      At(delay + kServiceTime, [=] {
        OnNode(aNode, aRun, [=] {
          Finish(aNode, aRun, aCall, ResultCode::Ok, attempt, answer);
        });
      });
    }
  }
  void EndAttempt(size_t aNode,
                  uint64_t aRun,
                  const RequestArrived& aCall,
                  int aTry,
                  const ServiceRow& aRow,
                  const std::string& aAttempt,
                  const std::shared_ptr<const StoredAnswer>& aAnswer)
  {
    const ExchangeClassification verdict =
      ClassifyExchange({ aRow.m_end, aRow.m_status, false, false, false });
    if (verdict.m_mayRetry && aTry == 1) {
      Attempt(aNode, aRun, aCall, aTry + 1);
      return;
    }
    const bool isWhole = aRow.m_end == ExchangeEnd::Whole;
    Finish(aNode,
           aRun,
           aCall,
           verdict.m_code,
           isWhole ? aAttempt : "",
           isWhole ? aAnswer : nullptr);
  }
  void Finish(size_t aNode,
              uint64_t aRun,
              const RequestArrived& aCall,
              ResultCode aCode,
              const std::string& aAttempt,
              const std::shared_ptr<const StoredAnswer>& aAnswer)
  {
    ActionFinished finished;
    finished.m_finish.m_request = aCall.m_request;
    finished.m_finish.m_code = aCode;
    finished.m_finish.m_attempt = AttemptId(aAttempt);
    finished.m_answer = aAnswer;
    m_attempts[aAttempt] = aAnswer;
    Deliver(aNode, aRun, finished);
  }
  std::shared_ptr<const StoredAnswer> RunService(const RequestArrived& aCall,
                                                 uint16_t aStatus)
  {
    const std::string& key = aCall.m_key.Value();
    const int run = ++m_runs[key];
    ++m_sendings.at(aCall.m_request.Value()).m_runs;
    std::string body =
      key + " run " + std::to_string(run) + " for " + aCall.m_request.Value();
    if (m_answers.size() % m_largeEvery == 0) {
      body.append(m_bodyBytes, '\xff');
    }
    auto answer = std::make_shared<const StoredAnswer>(
      StoredAnswer{ aStatus, "application/json", body });
    m_answers[key] = answer;
    m_bodies[key] = aCall.m_fingerprint.Value();
    return answer;
  }

  size_t m_bodyBytes;
  Millis m_tick;
  Millis m_now;
  Millis m_outageUntil;
  std::multimap<Millis, std::function<void()>> m_timeline;
  std::vector<Node> m_nodes;
  uint64_t m_incarnations = 0;
  std::map<std::string, Row> m_rows;
  std::map<std::string, std::string> m_objects;
  uint64_t m_conflicts = 0;
  std::map<std::string, Sending> m_sendings;
  // By key: how often the service ran it, its last answer and body.
  std::map<std::string, int> m_runs;
  std::map<std::string, std::shared_ptr<const StoredAnswer>> m_answers;
  std::map<std::string, uint64_t> m_bodies;
  std::map<std::string, std::shared_ptr<const StoredAnswer>> m_attempts;
};

} // namespace briarglade::testing
