// Everything that membership can ask for, as data.

#pragma once

#include <map>
#include <variant>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/log_event.h"
#include "briarglade/config/fleet_config.h"
#include "briarglade/membership/operator_command.h"
#include "briarglade/membership/peer_message.h"
#include "briarglade/storage/table.h"

namespace briarglade {

// Send a message to another node; the loss of it is no error.
struct SendPeer
{
  // Empty: whoever listens there (a seed).
  NodeId m_node;
  Endpoint m_endpoint;
  PeerMessage m_message;
};

// A new configuration is in force on this node.
struct FleetAdopted
{
  ConfigVersion m_version;
  FleetConfig m_fleet;
};

// The availability zones' states, with those held out in memory. A zone that
// isn't named is in.
struct ZonesAdopted
{
  std::map<ZoneId, ZoneState> m_zones;
};

// The roster has changed.
struct RosterAdopted
{
  // Sorted by id.
  std::vector<RosterNode> m_nodes;
};

// Whether this node may give out new work. IsConfirmed() is the same at any
// instant between two events.
struct ConfirmationChanged
{
  bool m_confirmed = false;
};

// The process may stop.
struct ShutdownComplete
{
  // False: the roster still names this node; it couldn't be changed in time.
  bool m_hasLeft = false;
};

using MembershipEffect = std::variant<TableRead,
                                      TableWrite,
                                      SendPeer,
                                      CommandAnswer,
                                      FleetAdopted,
                                      ZonesAdopted,
                                      RosterAdopted,
                                      ConfirmationChanged,
                                      ShutdownComplete,
                                      LogEvent>;

using MembershipEffects = std::vector<MembershipEffect>;

} // namespace briarglade
