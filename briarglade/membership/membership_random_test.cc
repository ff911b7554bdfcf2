// Random faults and commands, several at a time, from fixed seeds: what was
// accepted is in force within the bound and never reverts.

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <vector>

#include "briarglade/membership/fake_region_test.h"

namespace briarglade {
namespace {

constexpr Millis kInForceWithin = Millis(4'000);
constexpr size_t kNodes = 5;
constexpr int kRuns = 60;
constexpr int kStepsPerRun = 250;
const char* const kZones[] = { "perth-a", "bunbury-b", "albany-c" };

// A command whose outcome the run follows.
struct Followed
{
  CommandId m_command;
  // For a configuration: the version that it makes. Zero: a zone command.
  uint64_t m_version = 0;
  std::string m_zone;
};

class RandomRun
{
public:
  explicit RandomRun(uint32_t aSeed)
    : m_random(aSeed)
    , m_region(kNodes)
    , m_runs(kNodes)
  {
    m_region.Run(Millis(8'000));
    m_region.Apply(0, 0);
    m_region.Run(Millis(2'000));
    m_region.m_onTick = [this] { Check(); };
  }

  void Go()
  {
    for (int step = 0; step < kStepsPerRun; ++step) {
      Step();
      m_region.Run(Millis(20 + Pick(600)));
    }
    // Twice: a paused node takes what it was sent only once it goes on.
    Heal();
    m_region.Run(Millis(1'000));
    Heal();
    m_region.Run(Millis(25'000));
    for (size_t i = 0; i < kNodes; ++i) {
      CHECK(m_region.Confirmed(i));
      CHECK(m_region.m_nodes[i].m_adoptedVersion ==
            m_region.m_nodes[0].m_adoptedVersion);
    }
  }

  uint64_t Accepted() const { return m_accepted; }

private:
  int Pick(int aCount) { return static_cast<int>(m_random() % aCount); }
  size_t PickNode() { return m_random() % kNodes; }

  void Step()
  {
    const size_t node = PickNode();
    FakeNode& chosen = m_region.m_nodes[node];
    switch (Pick(16)) {
      case 0:
        m_region.m_table.m_isDown = !m_region.m_table.m_isDown;
        break;
      case 1:
        m_region.m_table.m_isDown = false;
        break;
      case 2:
        m_region.m_table.m_loseWriteAnswers = 1 + Pick(2);
        break;
      case 3:
        m_region.m_tableDelay = Millis(Pick(3) == 0 ? 1'500 : 2);
        break;
      case 4:
        chosen.m_isCutFromTable = !chosen.m_isCutFromTable;
        break;
      case 5:
        m_region.Cut(node, PickNode());
        break;
      case 6:
        m_region.Isolate(node);
        break;
      case 7:
        Heal();
        break;
      case 8:
        chosen.m_isPaused = !chosen.m_isPaused;
        break;
      case 9:
        m_region.Start(node);
        break;
      case 10:
        m_region.Post(node, ShutdownRequested{});
        break;
      case 11:
      case 12:
        Zone(node);
        break;
      default:
        Apply(node);
        break;
    }
  }

  void Heal()
  {
    m_region.m_cuts.clear();
    m_region.m_table.m_isDown = false;
    m_region.m_table.m_loseWriteAnswers = 0;
    m_region.m_tableDelay = Millis(2);
    for (size_t i = 0; i < kNodes; ++i) {
      m_region.m_nodes[i].m_isCutFromTable = false;
      m_region.m_nodes[i].m_isPaused = false;
      if (m_region.m_nodes[i].m_state.m_isLeaving) {
        m_region.Start(i);
      }
    }
  }

  void Apply(size_t aNode)
  {
    if (m_region.m_nodes[aNode].m_isPaused) {
      return;
    }
    const uint64_t base = m_region.m_nodes[aNode].m_adoptedVersion;
    const CommandId command = m_region.Apply(aNode, base);
    m_followed.push_back(Followed{ command, base + 1, "" });
  }

  void Zone(size_t aNode)
  {
    if (m_region.m_nodes[aNode].m_isPaused) {
      return;
    }
    const std::string zone = kZones[Pick(3)];
    if (Pick(2) == 0) {
      // From now on the zone may come back at any moment.
      m_outSince.erase(zone);
      m_region.Zone(aNode, zone, ZoneState::In);
      m_inAskedAt[zone] = m_region.Now();
      return;
    }
    const CommandId command = m_region.Zone(aNode, zone, ZoneState::Out);
    m_followed.push_back(Followed{ command, 0, zone });
  }

  // Takes note of the commands that were accepted.
  void Follow()
  {
    std::vector<Followed> open;
    for (const Followed& followed : m_followed) {
      if (m_region.m_answers.count(followed.m_command) == 0) {
        open.push_back(followed);
      } else if (m_region.CodeOf(followed.m_command) == ResultCode::Ok) {
        ++m_accepted;
        NoteAccepted(followed);
      }
    }
    m_followed = std::move(open);
  }

  void NoteAccepted(const Followed& aFollowed)
  {
    if (aFollowed.m_version != 0) {
      m_acceptedAt.emplace(aFollowed.m_version, m_region.Now());
      return;
    }
    // A command to bring the zone back may have overtaken this one.
    const auto in = m_inAskedAt.find(aFollowed.m_zone);
    const bool isClear =
      in == m_inAskedAt.end() || m_region.Now() - in->second > Millis(20'000);
    if (isClear) {
      m_outSince.emplace(aFollowed.m_zone, m_region.Now());
    }
  }

  void Check()
  {
    Follow();
    uint64_t due = 0;
    for (const auto& [version, at] : m_acceptedAt) {
      if (m_region.Now() - at > kInForceWithin) {
        due = std::max(due, version);
      }
    }
    for (size_t i = 0; i < kNodes; ++i) {
      CheckNode(i, due);
    }
  }

  void CheckNode(size_t aNode, uint64_t aDue)
  {
    const FakeNode& node = m_region.m_nodes[aNode];
    Run& run = m_runs[aNode];
    const uint64_t incarnation = node.m_state.m_settings.m_incarnation;
    if (run.m_incarnation == incarnation &&
        node.m_adoptedVersion < run.m_version) {
      FAIL_CHECK("a version reverted");
    }
    run = Run{ incarnation, node.m_adoptedVersion };
    if (!m_region.Confirmed(aNode)) {
      return;
    }
    if (node.m_adoptedVersion < aDue) {
      FAIL_CHECK("node ", aNode, " serves an old version at ", m_region.Now());
    }
    for (const auto& [zone, since] : m_outSince) {
      const bool isDue = m_region.Now() - since > kInForceWithin;
      if (isDue && !m_region.IsOut(aNode, zone)) {
        FAIL_CHECK("node ", aNode, " serves zone ", zone);
      }
    }
  }

  // The latest run of a node's process.
  struct Run
  {
    uint64_t m_incarnation = 0;
    uint64_t m_version = 0;
  };

  std::mt19937 m_random;
  FakeRegion m_region;
  std::vector<Run> m_runs;
  std::vector<Followed> m_followed;
  std::map<uint64_t, Millis> m_acceptedAt;
  std::map<std::string, Millis> m_outSince;
  std::map<std::string, Millis> m_inAskedAt;
  uint64_t m_accepted = 0;
};

TEST_CASE("accepted changes hold under random faults")
{
  uint64_t accepted = 0;
  for (uint32_t seed = 1; seed <= kRuns; ++seed) {
    CAPTURE(seed);
    RandomRun run(seed);
    run.Go();
    accepted += run.Accepted();
  }
  // The runs are no proof if hardly anything was accepted in them.
  CHECK(accepted > 10 * kRuns);
}

} // namespace
} // namespace briarglade
