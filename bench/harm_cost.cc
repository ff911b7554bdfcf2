// Processor time and memory of the harm detector while prompt parts crash
// servers: families of requests, each with many parts of its own, of which one
// is harmful.
//
//   harm_cost
//
// Prints, for each number of families and parts, the suspects in the end, the
// time of one crash's evidence with the update that follows, and by how much
// the memory of the process has grown.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <string>

#include "briarglade/gateway/harm_detector.h"

namespace briarglade {
namespace {

// Crashes of each family: as many as the detector keeps.
constexpr int kCrashes = 16;
constexpr Millis kCrashPeriod = Millis(1'000);

struct Load
{
  int m_families = 1;
  int m_parts = 4;
};

long ResidentKilobytes()
{
  constexpr long kPageKilobytes = 4;
  std::ifstream file("/proc/self/statm");
  long size = 0;
  long resident = 0;
  file >> size >> resident;
  return resident * kPageKilobytes;
}

CrashEvidence EvidenceOf(int aCrash, int aFamily, int aParts)
{
  CrashEvidence evidence;
  const std::string server =
    std::to_string(aCrash) + "-" + std::to_string(aFamily);
  evidence.m_server = ServerRun{ HostId(server), BootId("r") };
  const auto family = static_cast<uint64_t>(aFamily);
  for (int part = 0; part < aParts; ++part) {
    const auto value = family * 1'000 + static_cast<uint64_t>(part);
    evidence.m_traits.push_back({ TraitKind::PromptPart, value });
  }
  return evidence;
}

void Measure(const Load& aLoad)
{
  const long before = ResidentKilobytes();
  HarmDetector detector;
  Millis now(1'000'000);
  std::chrono::duration<double, std::milli> spent{};
  int count = 0;
  for (int crash = 0; crash < kCrashes; ++crash) {
    for (int family = 0; family < aLoad.m_families; ++family) {
      const CrashEvidence evidence = EvidenceOf(crash, family, aLoad.m_parts);
      const auto begun = std::chrono::steady_clock::now();
      detector.OnEvidence(now, evidence);
      detector.Tick(now, 1, 0);
      spent += std::chrono::steady_clock::now() - begun;
      ++count;
      now += kCrashPeriod;
    }
  }
  std::printf("%4d families of %3d parts: %5zu suspects, %8.3f ms a crash, "
              "%6ld KB\n",
              aLoad.m_families,
              aLoad.m_parts,
              detector.SuspectCount(),
              spent.count() / count,
              ResidentKilobytes() - before);
}

} // namespace
} // namespace briarglade

int main()
{
  using briarglade::Load;
  for (const Load& load : { Load{ 1, 4 },
                            Load{ 8, 4 },
                            Load{ 1, 64 },
                            Load{ 4, 64 },
                            Load{ 15, 64 } }) {
    briarglade::Measure(load);
  }
  return 0;
}
