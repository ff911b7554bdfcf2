// Matches exchanges that broke off with servers that were lost: neither alone
// shows that a server crashed, and they become known in either order.
//
// Example:
//   if (auto evidence = matcher.OnBroken(now, traits, server)) {
//     Report(*evidence);
//   }
//   for (CrashEvidence& evidence : matcher.OnServerLost(now, server, domain)) {
//     Report(evidence);
//   }

#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/gateway/crash_evidence.h"
#include "briarglade/gateway/server_run.h"

namespace briarglade {

class CrashMatcher
{
public:
  // A broken exchange and the loss of its server belong together if they are at
  // most this far apart.
  static constexpr Millis kMatchWindow = Millis(10'000);
  // The number of exchanges, and of losses, that are kept at most.
  static constexpr size_t kMaxEntries = 1'024;

  // Records that a server broke off an exchange. Returns the evidence if the
  // server is known to be lost.
  std::optional<CrashEvidence> OnBroken(
    Millis aNow,
    const std::vector<RequestTrait>& aTraits,
    const ServerRun& aServer);
  // Records that a run of a server has ended without a planned shutdown.
  // Returns the evidence of the exchanges that it broke off; nothing if the
  // loss is known.
  std::vector<CrashEvidence> OnServerLost(Millis aNow,
                                          const ServerRun& aServer,
                                          const DomainId& aDomain);
  // Records that a server still runs: its broken exchanges are no evidence.
  void OnServerAlive(const ServerRun& aServer);

  // Forgets what is too old to match.
  void Expire(Millis aNow);
  // Returns the number of exchanges and losses that are kept.
  size_t Size() const { return m_brokenExchanges.size() + m_losses.size(); }

private:
  struct BrokenExchange
  {
    Millis m_at;
    ServerRun m_server;
    std::vector<RequestTrait> m_traits;
  };
  struct Loss
  {
    Millis m_at;
    ServerRun m_server;
    DomainId m_domain;
  };

  static CrashEvidence MakeEvidence(Millis aNow,
                                    const BrokenExchange& aBroken,
                                    const Loss& aLoss);

  std::deque<BrokenExchange> m_brokenExchanges;
  std::deque<Loss> m_losses;
};

} // namespace briarglade
