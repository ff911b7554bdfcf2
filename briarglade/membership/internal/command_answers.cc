// The answers to operators' commands.

#include "briarglade/membership/internal/command_answers.h"

#include <utility>

namespace briarglade {

void AnswerCommand(const MembershipState& aState,
                   const CommandId& aCommand,
                   ResultCode aCode,
                   std::string aDetail,
                   std::vector<NodeId> aMissing,
                   MembershipEffects& aEffects)
{
  aEffects.emplace_back(
    LogEvent{ LogLevel::Info,
              "command-answered",
              { { "command", aCommand.Value() },
                { "code", std::to_string(static_cast<uint16_t>(aCode)) },
                { "detail", aDetail } } });
  aEffects.emplace_back(CommandAnswer{ aCommand,
                                       aCode,
                                       std::move(aDetail),
                                       ConfigVersion(aState.m_held.m_config),
                                       std::move(aMissing) });
}

void FinishCommand(const MembershipState& aState,
                   const CommandId& aCommand,
                   ResultCode aCode,
                   std::string aDetail,
                   MembershipEffects& aEffects)
{
  AnswerCommand(aState, aCommand, aCode, std::move(aDetail), {}, aEffects);
}

std::string DescribeChange(const std::string& aValue)
{
  const std::vector<ChangeRecord> history = ReadHistory(aValue);
  if (history.empty()) {
    return "another change";
  }
  const ChangeRecord& change = history.front();
  return "version " + std::to_string(change.m_version) + " (" + change.m_what +
         ") by " + change.m_who + ": " + change.m_why;
}

} // namespace briarglade
