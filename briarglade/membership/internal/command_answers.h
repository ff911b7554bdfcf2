// The answers to operators' commands.

#pragma once

#include <string>
#include <vector>

#include "briarglade/membership/membership_effect.h"
#include "briarglade/membership/membership_state.h"

namespace briarglade {

// Answers a command, and logs the answer. The missing nodes are those that
// haven't acknowledged.
void AnswerCommand(const MembershipState& aState,
                   const CommandId& aCommand,
                   ResultCode aCode,
                   std::string aDetail,
                   std::vector<NodeId> aMissing,
                   MembershipEffects& aEffects);

// The same for an answer that names no nodes.
void FinishCommand(const MembershipState& aState,
                   const CommandId& aCommand,
                   ResultCode aCode,
                   std::string aDetail,
                   MembershipEffects& aEffects);

// Names the latest change in a row's value: its version, who made it and why.
std::string DescribeChange(const std::string& aValue);

} // namespace briarglade
