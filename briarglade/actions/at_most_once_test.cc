// Every step of a non-idempotent exchange against every failure: what callers
// are told is true, and no key ever runs twice.

#include <doctest/doctest.h>
#include <string>
#include <vector>

#include "briarglade/actions/actions_world_test.h"

namespace briarglade::testing {
namespace {

constexpr Millis kAllowed = Millis(10'000);
constexpr Millis kShortPause = Millis(2'000);
// Longer than a call may take.
constexpr Millis kLongPause = Millis(15'000);
constexpr Millis kSettled = Millis(40'000);
constexpr size_t kLargeBody = kMaxInlineBytes + 1000;

// What happens to the first node, or to the first caller.
enum class NodeFault
{
  None,
  ShortPauseAtRecord,
  LongPauseAtRecord,
  LongPauseBeforeSend,
  PauseAfterRun,
  DiesAtRecord,
  DiesBeforeSend,
  DiesAfterRun,
  DiesAtFinal,
  CallerLeavesAtOnce,
  CallerLeavesDuring
};
constexpr int kNodeFaults = 11;

// When and where the call is repeated.
enum class Repeat
{
  None,
  SameNodeAtOnce,
  OtherNodeAtOnce,
  OtherNodeDuring,
  SameNodeAfter,
  OtherNodeAfter,
  OtherBodyDuring,
  OtherBodyAfter
};
constexpr int kRepeats = 8;

struct Case
{
  StoreFault m_record = StoreFault::None;
  ServiceFault m_service = ServiceFault::None;
  StoreFault m_final = StoreFault::None;
  NodeFault m_node = NodeFault::None;
  Repeat m_repeat = Repeat::None;
  // The answer's body goes to the object store, whose first operation fails so.
  bool m_large = false;
  StoreFault m_object = StoreFault::None;
};

std::string Describe(const Case& aCase)
{
  std::string text;
  for (const int part : { static_cast<int>(aCase.m_record),
                          static_cast<int>(aCase.m_service),
                          static_cast<int>(aCase.m_final),
                          static_cast<int>(aCase.m_node),
                          static_cast<int>(aCase.m_repeat),
                          static_cast<int>(aCase.m_large),
                          static_cast<int>(aCase.m_object) }) {
    text += std::to_string(part) + " ";
  }
  return text;
}

// What the two callers of a case were told.
struct Told
{
  ResultCode m_first;
  ResultCode m_repeat;
  ResultCode m_last;
};

bool IsStarted(const TableWrite& aWrite)
{
  return aWrite.m_value.find("\"state\":\"started\"") != std::string::npos;
}

class CaseRun
{
public:
  explicit CaseRun(const Case& aCase)
    : m_case(aCase)
    , m_world(2, aCase.m_large ? kLargeBody : 0)
  {
    m_world.m_onWrite = [this](size_t aNode, const TableWrite& aWrite) {
      return OnWrite(aNode, aWrite);
    };
    m_world.m_onObject = [this](size_t) {
      const bool isFirst = !m_objectSeen;
      m_objectSeen = true;
      return isFirst ? m_case.m_object : StoreFault::None;
    };
    m_world.m_onAttempt = [this](const RequestArrived& aCall, int) {
      const bool isFirst = aCall.m_request.Value() == m_first;
      return isFirst ? m_case.m_service : ServiceFault::None;
    };
    m_world.m_beforeSend = [this](size_t aNode) {
      Strike(aNode, NodeFault::LongPauseBeforeSend, kLongPause);
      Strike(aNode, NodeFault::DiesBeforeSend, Millis());
    };
    m_world.m_afterRun = [this](size_t aNode) {
      Strike(aNode, NodeFault::PauseAfterRun, kLongPause);
      Strike(aNode, NodeFault::DiesAfterRun, Millis());
    };
  }

  Told Run()
  {
    m_first = "r0";
    m_world.Send(0, "key", 1, kAllowed);
    if (m_case.m_node == NodeFault::CallerLeavesAtOnce) {
      m_world.Leave(m_first);
    }
    if (m_case.m_node == NodeFault::CallerLeavesDuring) {
      m_world.At(Millis(5), [this] { m_world.Leave(m_first); });
    }
    const std::string repeat = SendRepeat();
    m_world.RunFor(kSettled);
    const std::string last = m_world.Send(1, "key", 1, kAllowed);
    m_world.RunFor(kAllowed * 2);
    m_world.Judge();
    return Told{ m_world.Told(m_first),
                 repeat.empty() ? ResultCode::Internal : m_world.Told(repeat),
                 m_world.Told(last) };
  }

private:
  StoreFault OnWrite(size_t aNode, const TableWrite& aWrite)
  {
    if (aNode != 0) {
      return StoreFault::None;
    }
    if (IsStarted(aWrite)) {
      Strike(aNode, NodeFault::ShortPauseAtRecord, kShortPause);
      Strike(aNode, NodeFault::LongPauseAtRecord, kLongPause);
      Strike(aNode, NodeFault::DiesAtRecord, Millis());
      const bool isFirst = !m_recordSeen;
      m_recordSeen = true;
      return isFirst ? m_case.m_record : StoreFault::None;
    }
    Strike(aNode, NodeFault::DiesAtFinal, Millis());
    const bool isFirst = !m_finalSeen;
    m_finalSeen = true;
    return isFirst ? m_case.m_final : StoreFault::None;
  }

  // Carries out the case's node fault, once, if this is its moment.
  void Strike(size_t aNode, NodeFault aFault, Millis aPause)
  {
    if (aNode != 0 || m_case.m_node != aFault || m_struck) {
      return;
    }
    m_struck = true;
    m_world.At(Millis(), [this, aPause] {
      if (aPause > Millis()) {
        m_world.Pause(0, aPause);
      } else {
        m_world.Restart(0);
      }
    });
  }

  std::string SendRepeat()
  {
    constexpr Millis kDuring = Millis(8);
    constexpr Millis kAfter = Millis(5'000);
    switch (m_case.m_repeat) {
      case Repeat::None:
        return "";
      case Repeat::SameNodeAtOnce:
        return m_world.Send(0, "key", 1, kAllowed);
      case Repeat::OtherNodeAtOnce:
        return m_world.Send(1, "key", 1, kAllowed);
      case Repeat::OtherNodeDuring:
        m_world.RunFor(kDuring);
        return m_world.Send(1, "key", 1, kAllowed);
      case Repeat::SameNodeAfter:
        m_world.RunFor(kAfter);
        return m_world.Send(0, "key", 1, kAllowed);
      case Repeat::OtherNodeAfter:
        m_world.RunFor(kAfter);
        return m_world.Send(1, "key", 1, kAllowed);
      case Repeat::OtherBodyDuring:
        m_world.RunFor(kDuring);
        return m_world.Send(0, "key", 2, kAllowed);
      case Repeat::OtherBodyAfter:
        m_world.RunFor(kAfter);
        return m_world.Send(1, "key", 2, kAllowed);
    }
    return "";
  }

  Case m_case;
  World m_world;
  std::string m_first;
  bool m_recordSeen = false;
  bool m_finalSeen = false;
  bool m_objectSeen = false;
  bool m_struck = false;
};

// What a lone caller must be told, where its node lives: being truthful by
// saying "unknown" to everything isn't enough.
ResultCode ExpectedFirst(const Case& aCase)
{
  if (aCase.m_record == StoreFault::Refused ||
      aCase.m_record == StoreFault::Outage) {
    return ResultCode::RecordUnavailable;
  }
  const ServiceRow row = DescribeFault(aCase.m_service);
  return ClassifyExchange({ row.m_end, row.m_status, false, false, false })
    .m_code;
}

// What its repeat must be told, much later and by another node.
ResultCode ExpectedLast(const Case& aCase)
{
  switch (DescribeResultCode(ExpectedFirst(aCase)).m_outcome) {
    case Outcome::Done:
      return ResultCode::OkReplayed;
    case Outcome::NotRun:
      return ResultCode::Ok;
    case Outcome::Unknown:
      return ResultCode::OutcomeUnknown;
  }
  return ResultCode::Internal;
}

void RunCase(const Case& aCase)
{
  INFO("case " << Describe(aCase));
  const Told told = CaseRun(aCase).Run();
  const bool isAlone =
    aCase.m_node == NodeFault::None && aCase.m_repeat == Repeat::None;
  if (isAlone) {
    CHECK(told.m_first == ExpectedFirst(aCase));
    CHECK(told.m_last == ExpectedLast(aCase));
  }
}

// Runs a case with every fault of the node and every repeat.
int RunWithNodesAndRepeats(Case aCase)
{
  for (int node = 0; node < kNodeFaults; ++node) {
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
      aCase.m_node = static_cast<NodeFault>(node);
      aCase.m_repeat = static_cast<Repeat>(repeat);
      RunCase(aCase);
    }
  }
  return kNodeFaults * kRepeats;
}

TEST_CASE("each failure of the record and of the attempt: true, and run once")
{
  int cases = 0;
  for (int record = 0; record < kStoreFaults; ++record) {
    for (int service = 0; service < kServiceFaults; ++service) {
      Case broken;
      broken.m_record = static_cast<StoreFault>(record);
      broken.m_service = static_cast<ServiceFault>(service);
      cases += RunWithNodesAndRepeats(broken);
    }
  }
  CHECK(cases == 6'336);
}

TEST_CASE("each failure of the final write: true, and run once")
{
  int cases = 0;
  for (int record = 0; record < kStoreFaults; ++record) {
    for (int service = 0; service < kServiceFaults; ++service) {
      for (int final = 1; final < kStoreFaults; ++final) {
        Case broken;
        broken.m_record = static_cast<StoreFault>(record);
        broken.m_service = static_cast<ServiceFault>(service);
        broken.m_final = static_cast<StoreFault>(final);
        cases += RunWithNodesAndRepeats(broken);
      }
    }
  }
  CHECK(cases == 31'680);
}

TEST_CASE("an answer whose body is in the object store, at each failure of it")
{
  for (int object = 0; object < kStoreFaults; ++object) {
    for (int final = 0; final < kStoreFaults; ++final) {
      Case large;
      large.m_large = true;
      large.m_object = static_cast<StoreFault>(object);
      large.m_final = static_cast<StoreFault>(final);
      RunWithNodesAndRepeats(large);
    }
  }
}

TEST_CASE("without a failure, repeats get the answer and other bodies a 422")
{
  for (int repeat = 1; repeat < kRepeats; ++repeat) {
    for (const bool large : { false, true }) {
      Case healthy;
      healthy.m_repeat = static_cast<Repeat>(repeat);
      healthy.m_large = large;
      INFO("repeat " << repeat << " large " << large);
      const Told told = CaseRun(healthy).Run();
      const bool isOther = healthy.m_repeat >= Repeat::OtherBodyDuring;
      CHECK(DescribeResultCode(told.m_first).m_outcome == Outcome::Done);
      CHECK(told.m_last == ResultCode::OkReplayed);
      if (isOther) {
        CHECK(told.m_repeat == ResultCode::IdempotencyKeyReused);
      } else {
        CHECK(DescribeResultCode(told.m_repeat).m_outcome == Outcome::Done);
      }
    }
  }
}

TEST_CASE("a caller that left finds the answer when it comes back")
{
  for (const Repeat repeat :
       { Repeat::SameNodeAfter, Repeat::OtherNodeAfter }) {
    Case left;
    left.m_node = NodeFault::CallerLeavesDuring;
    left.m_repeat = repeat;
    CHECK(CaseRun(left).Run().m_repeat == ResultCode::OkReplayed);
  }
  Case leftAtOnce;
  leftAtOnce.m_node = NodeFault::CallerLeavesAtOnce;
  leftAtOnce.m_repeat = Repeat::SameNodeAtOnce;
  CHECK(CaseRun(leftAtOnce).Run().m_repeat == ResultCode::Ok);
}

TEST_CASE("kept answers are bounded, and written once the store is back")
{
  constexpr size_t kBody = size_t{ 1 } << 20;
  constexpr size_t kFitting = kMaxKeptBytes / (kBody + 100);
  bool isDown = true;
  World world(1, kBody);
  world.m_onObject = [&isDown](size_t) {
    return isDown ? StoreFault::Refused : StoreFault::None;
  };
  std::vector<std::string> sent;
  for (size_t call = 0; call < kFitting + 2; ++call) {
    sent.push_back(world.Send(0, std::to_string(call), 1, kAllowed));
  }
  world.RunFor(kAllowed);
  CHECK(world.State(0).m_keptBytes <= kMaxKeptBytes);
  isDown = false;
  world.RunFor(kAllowed);
  CHECK(world.State(0).m_keptBytes == 0);
  for (size_t call = 0; call < sent.size(); ++call) {
    CHECK(world.Told(sent[call]) == ResultCode::Ok);
    const std::string repeat = world.Send(0, std::to_string(call), 1, kAllowed);
    world.RunFor(kAllowed);
    CHECK(world.Told(repeat) == (call < kFitting ? ResultCode::OkReplayed
                                                 : ResultCode::OutcomeUnknown));
  }
  world.Judge();
}

TEST_CASE("open calls are bounded; one more is refused, and did not run")
{
  World world(1);
  world.m_onAttempt = [](const RequestArrived&, int) {
    return ServiceFault::TimeoutRan;
  };
  for (const std::string account : { "a", "b", "c", "d" }) {
    for (size_t call = 0; call < kMaxAccountCalls; ++call) {
      const std::string key = account + std::to_string(call);
      world.Send(0, key, 1, kAllowed, account);
    }
    const std::string over = world.Send(0, "over", 1, kAllowed, account);
    const bool isFull = account == "d";
    CHECK(world.Told(over) ==
          (isFull ? ResultCode::RecordUnavailable : ResultCode::AccountLimit));
  }
  const std::string refused = world.Send(0, "one more", 1, kAllowed, "e");
  CHECK(world.Told(refused) == ResultCode::RecordUnavailable);
  world.RunFor(kAllowed * 2);
  CHECK(world.State(0).m_accountCalls.empty());
  world.Judge();
}

TEST_CASE("a record that was settled too late is released, and the key runs")
{
  World world(1);
  bool isFirst = true;
  world.m_onWrite = [&](size_t, const TableWrite&) {
    const StoreFault fault =
      isFirst ? StoreFault::AnswerLost : StoreFault::None;
    if (isFirst) {
      // The outage begins once the write has landed.
      world.At(World::kStoreTime * 2, [&world] { world.Outage(); });
    }
    isFirst = false;
    return fault;
  };
  const std::string refused = world.Send(0, "key", 1, kAllowed);
  world.RunFor(kRecordTime + World::kOutageTime + kSettlePeriod * 4);
  CHECK(world.Told(refused) == ResultCode::RecordUnavailable);
  const std::string repeat = world.Send(0, "key", 1, kAllowed);
  world.RunFor(kAllowed);
  CHECK(world.Told(repeat) == ResultCode::Ok);
  world.Judge();
}

TEST_CASE("a node that was paused past the deadline doesn't ask for a run")
{
  World world(1);
  bool isAsked = false;
  world.m_beforeSend = [&isAsked](size_t) { isAsked = true; };
  const std::string request = world.Send(0, "key", 1, kAllowed);
  world.Pause(0, kLongPause);
  world.RunFor(kLongPause + kAllowed);
  CHECK_FALSE(isAsked);
  CHECK(DescribeResultCode(world.Told(request)).m_outcome == Outcome::NotRun);
  world.Judge();
}

// Seed 20261204 of the random run: the repeat that took the place of a caller
// who left stood in the record twice.
TEST_CASE("a repeat takes the place of a caller who left, once")
{
  World world(2);
  world.Send(1, "key", 1, kAllowed);
  world.RunFor(World::kServiceTime * 2);
  const std::string first = world.Send(0, "key", 1, kAllowed);
  const std::string second = world.Send(0, "key", 1, kAllowed);
  const std::string third = world.Send(0, "key", 1, kAllowed);
  world.Leave(first);
  world.RunFor(kAllowed);
  world.Judge();
  CHECK(world.Told(first) == ResultCode::CallerGone);
  CHECK(world.Told(second) == ResultCode::OkReplayed);
  CHECK(world.Told(third) == ResultCode::OkReplayed);
}

} // namespace
} // namespace briarglade::testing
