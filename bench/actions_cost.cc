// Measures what non-idempotent calls cost a node and its table: processor time
// and memory for each call, at several numbers of open ones, and the table
// operations of a call; then works out the share of calls that may be
// non-idempotent at the target size.
//
// Usage: actions_cost [OPEN...]
//
// Processor time includes making the events and answering for the table, so it
// is an upper bound. Memory is what the allocator has handed out.

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

#include "briarglade/actions/actions_state.h"
#include "briarglade/actions/reduce_actions.h"
#include "briarglade/base/overloaded.h"

namespace briarglade {
namespace {

constexpr int kCycles = 100'000;
constexpr int kTicks = 1'000;
constexpr uint64_t kAccounts = 10;
constexpr size_t kAnswerBytes = 256;
constexpr Millis kTimeAllowed = Millis(30'000);
constexpr Millis kTickPeriod = Millis(50);

// The target: writes a second that one table bears, requests a second in all,
// regions with a table each, and nodes of a region.
constexpr double kTableWrites = 300;
constexpr double kRequests = 27'000;
constexpr int kRegions = 4;
constexpr int kRegionNodes = 80;

double ProcessorMicros()
{
  timespec time = {};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

size_t AllocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// A node with a table that answers at once, or not at all.
class Driver
{
public:
  Driver()
    : m_state(MakeActionsState(NodeId("node-1"), 1'733'270'000'000))
    , m_answer(std::make_shared<const StoredAnswer>(
        StoredAnswer{ 200,
                      "application/json",
                      std::string(kAnswerBytes, 'x') }))
  {
    // The clock row is missing, made, and read.
    Apply(ActionsTick{});
    Apply(ActionsTick{});
  }

  // Lets a call arrive; it is open afterwards.
  void Begin()
  {
    RequestArrived request;
    request.m_request =
      RequestId("node-1.1733270000000." + std::to_string(++m_count));
    request.m_account =
      AccountId("account-" + std::to_string(m_count % kAccounts));
    request.m_class = ClassId("interactive");
    request.m_target.m_service = ServiceId("order-desk");
    request.m_operation = "book";
    request.m_idempotent = false;
    request.m_key = IdempotencyKey("order-desk-key-" + std::to_string(m_count));
    request.m_fingerprint = Fingerprint(m_count);
    request.m_deadline = m_now + kTimeAllowed;
    Apply(request);
  }
  // Ends the oldest open call with an answer of its own.
  void End()
  {
    if (m_running.empty()) {
      std::fprintf(stderr, "a call was refused\n");
      std::exit(1);
    }
    ActionFinished finished;
    finished.m_finish.m_request = m_running.front();
    finished.m_finish.m_code = ResultCode::Ok;
    finished.m_answer = std::make_shared<const StoredAnswer>(*m_answer);
    m_running.pop_front();
    Apply(finished);
  }
  void Tick()
  {
    m_now += kTickPeriod;
    Apply(ActionsTick{});
  }

  bool m_tableIsUp = true;
  uint64_t m_writes = 0;
  uint64_t m_reads = 0;
  // The size of the last row with an answer.
  size_t m_rowBytes = 0;
  std::deque<RequestId> m_running;

private:
  void Apply(const ActionsEvent& aEvent)
  {
    for (const ActionsEffect& effect : ReduceActions(m_state, m_now, aEvent)) {
      std::visit(Overloaded{ [&](const TableWrite& aWrite) { Write(aWrite); },
                             [&](const TableRead& aRead) { Read(aRead); },
                             [&](const RunAction& aRun) {
                               m_running.push_back(aRun.m_request.m_request);
                             },
                             [](const auto&) {} },
                 effect);
    }
  }
  void Write(const TableWrite& aWrite)
  {
    ++m_writes;
    m_rowBytes = aWrite.m_value.size();
    TableResult result;
    result.m_operation = aWrite.m_operation;
    if (m_tableIsUp) {
      result.m_status = TableStatus::Ok;
      result.m_rows.push_back(TableRow{ aWrite.m_key,
                                        aWrite.m_expected.Next(),
                                        aWrite.m_operation,
                                        aWrite.m_value });
    }
    Apply(result);
  }
  void Read(const TableRead& aRead)
  {
    ++m_reads;
    TableResult result;
    result.m_operation = aRead.m_operation;
    result.m_status =
      aRead.m_isPrefix ? TableStatus::Ok : TableStatus::NotFound;
    Apply(result);
  }

  ActionsState m_state;
  Millis m_now;
  uint64_t m_count = 0;
  std::shared_ptr<const StoredAnswer> m_answer;
};

void Measure(size_t aOpen)
{
  const size_t empty = AllocatedBytes();
  Driver driver;
  for (size_t call = 0; call < aOpen; ++call) {
    driver.Begin();
  }
  const size_t opened = AllocatedBytes();

  const double ticksBegan = ProcessorMicros();
  for (int tick = 0; tick < kTicks; ++tick) {
    driver.Tick();
  }
  const double tickMicros = (ProcessorMicros() - ticksBegan) / kTicks;

  driver.m_writes = 0;
  driver.m_reads = 0;
  const double began = ProcessorMicros();
  for (int cycle = 0; cycle < kCycles; ++cycle) {
    driver.End();
    driver.Begin();
  }
  const double callMicros = (ProcessorMicros() - began) / kCycles;
  const double writes = static_cast<double>(driver.m_writes) / kCycles;
  const double reads = static_cast<double>(driver.m_reads) / kCycles;

  // Half of the open calls end while the table is down.
  const size_t kept = std::min(aOpen / 2, kMaxKeptBytes / kAnswerBytes);
  driver.m_tableIsUp = false;
  const size_t before = AllocatedBytes();
  for (size_t call = 0; call < kept; ++call) {
    driver.End();
  }
  const size_t after = AllocatedBytes();
  std::printf("%8zu %12.2f %10.2f %12zu %14zu %8.2f %8.2f\n",
              aOpen,
              callMicros,
              tickMicros,
              (opened - empty) / aOpen,
              (opened - empty) / aOpen +
                static_cast<size_t>(static_cast<ssize_t>(after - before) /
                                    static_cast<ssize_t>(kept)),
              writes,
              reads);
}

// The sweep of one table at its full rate of calls. Listings meet expired rows
// often enough once these have piled up to this share of all.
void WorkOutSweep(double aCalls)
{
  Driver driver;
  driver.Begin();
  driver.End();
  const auto rowBytes = static_cast<double>(driver.m_rowBytes);
  const double listed = 1000.0 / static_cast<double>(kSweepRowTime.Count());
  const double share = aCalls / (listed * kRegionNodes);
  const auto keptHours = static_cast<double>(kRetentionEpochs + 1);
  const double rows = aCalls * 3600 * keptHours / (1 - share);
  std::printf("  sweep by %d nodes: %.0f rows/s and %.0f bytes/s a node\n",
              kRegionNodes,
              listed,
              listed * rowBytes);
  std::printf("  rows kept in a table: %.1f million of %.0f bytes, "
              "%.0f %% of them expired\n",
              rows / 1e6,
              rowBytes,
              share * 100);
  std::printf("  deletions: %.0f/s needed, at most %.0f/s made\n",
              aCalls,
              kRegionNodes * 1000 / static_cast<double>(kDeletePeriod.Count()));
}

// Two writes are measured above; the third deletes the row in the end.
void WorkOutShares()
{
  constexpr double kWritesPerCall = 3;
  const double calls = kTableWrites / kWritesPerCall;
  std::printf("\nat %.0f writes/s a table and %.0f writes for each call\n",
              kTableWrites,
              kWritesPerCall);
  for (const int tables : { 1, kRegions }) {
    const double share = calls * tables / kRequests;
    std::printf("  %d table(s): %.0f calls/s, %.2f %% of %.0f requests/s, "
                "one in %.0f\n",
                tables,
                calls * tables,
                share * 100,
                kRequests,
                1 / share);
  }
  WorkOutSweep(calls);
}

} // namespace
} // namespace briarglade

int main(int aCount, char** aArguments)
{
  std::vector<size_t> sizes;
  for (int i = 1; i < aCount; ++i) {
    sizes.push_back(std::strtoul(aArguments[i], nullptr, 10));
  }
  if (sizes.empty()) {
    sizes = { 100, 1'000, 10'000 };
  }
  std::printf("%8s %12s %10s %12s %14s %8s %8s\n",
              "open",
              "us/call",
              "us/tick",
              "bytes/open",
              "bytes/kept",
              "writes",
              "reads");
  for (const size_t open : sizes) {
    briarglade::Measure(open);
  }
  briarglade::WorkOutShares();
  return 0;
}
