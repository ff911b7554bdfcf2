// Keeps recent broken exchanges and recent losses of servers.

#include "briarglade/gateway/crash_matcher.h"

#include <algorithm>
#include <utility>

#include "briarglade/gateway/internal/bounded_deque.h"

namespace briarglade {

CrashEvidence CrashMatcher::MakeEvidence(Millis aNow,
                                         const BrokenExchange& aBroken,
                                         const Loss& aLoss)
{
  CrashEvidence evidence;
  evidence.m_server = aLoss.m_server;
  evidence.m_domain = aLoss.m_domain;
  evidence.m_age = aNow - aBroken.m_at;
  evidence.m_traits = aBroken.m_traits;
  return evidence;
}

std::optional<CrashEvidence> CrashMatcher::OnBroken(
  Millis aNow,
  const std::vector<RequestTrait>& aTraits,
  const ServerRun& aServer)
{
  BrokenExchange broken{ aNow, aServer, aTraits };
  const auto loss =
    std::find_if(m_losses.rbegin(), m_losses.rend(), [&](const Loss& aLoss) {
      return aLoss.m_server == aServer && aNow - aLoss.m_at <= kMatchWindow;
    });
  if (loss != m_losses.rend()) {
    return MakeEvidence(aNow, broken, *loss);
  }
  internal::AppendBounded(m_brokenExchanges, std::move(broken), kMaxEntries);
  return std::nullopt;
}

std::vector<CrashEvidence> CrashMatcher::OnServerLost(Millis aNow,
                                                      const ServerRun& aServer,
                                                      const DomainId& aDomain)
{
  const auto isSame = [&](const auto& aEntry) {
    return aEntry.m_server == aServer;
  };
  std::vector<CrashEvidence> evidence;
  if (std::any_of(m_losses.begin(), m_losses.end(), isSame)) {
    return evidence;
  }
  const Loss loss{ aNow, aServer, aDomain };
  internal::AppendBounded(m_losses, loss, kMaxEntries);
  for (const BrokenExchange& broken : m_brokenExchanges) {
    if (isSame(broken) && aNow - broken.m_at <= kMatchWindow) {
      evidence.push_back(MakeEvidence(aNow, broken, loss));
    }
  }
  OnServerAlive(aServer);
  return evidence;
}

void CrashMatcher::OnServerAlive(const ServerRun& aServer)
{
  const auto isSame = [&](const BrokenExchange& aBroken) {
    return aBroken.m_server == aServer;
  };
  m_brokenExchanges.erase(
    std::remove_if(m_brokenExchanges.begin(), m_brokenExchanges.end(), isSame),
    m_brokenExchanges.end());
}

void CrashMatcher::Expire(Millis aNow)
{
  internal::DropOlderThan(m_brokenExchanges, aNow - kMatchWindow);
  internal::DropOlderThan(m_losses, aNow - kMatchWindow);
}

} // namespace briarglade
