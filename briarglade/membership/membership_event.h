// Everything that can happen to membership, as data.

#pragma once

#include <variant>
#include <vector>

#include "briarglade/membership/operator_command.h"
#include "briarglade/membership/peer_message.h"
#include "briarglade/storage/table.h"

namespace briarglade {

// Time has passed; sent every 50 ms.
struct MembershipTick
{};

// A message whose envelope was opened.
struct PeerMessageReceived
{
  NodeId m_from;
  // The start of the sender's process.
  uint64_t m_incarnation = 0;
  PeerMessage m_message;
};

// A message to the node could not be delivered.
struct PeerUnreachable
{
  NodeId m_node;
};

// The platform's host list was read: the hosts that it shows. Nodes are hosts
// too; a node that the list doesn't show although it shows this one is gone.
struct EntryHostsRead
{
  std::vector<NodeId> m_shown;
};

// Leave the roster: the process will stop.
struct ShutdownRequested
{};

using MembershipEvent = std::variant<MembershipTick,
                                     TableResult,
                                     PeerMessageReceived,
                                     PeerUnreachable,
                                     EntryHostsRead,
                                     ApplyCommand,
                                     ZoneCommand,
                                     ShutdownRequested>;

} // namespace briarglade
