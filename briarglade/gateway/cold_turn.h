// The messages by which nodes pass on turns at a server in cold start
// (cold_start_limit.h).

#pragma once

#include <cstdint>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

// A node asks another one, which has a quota of the server's limit, for a turn:
// the right to send the server one request.
struct ColdTurnRequest
{
  HostId m_server;
  // When the asker sent this, by the asker's clock. It identifies the request,
  // and the turn expires by it.
  Millis m_askedAt;
  // The time since the asker last sent the server a request.
  Millis m_sinceLastSent;
};

// Identifies a turn of a node. Its holder grants it, and the node reports with
// the same content that it has used the turn or gives it back.
struct ColdTurn
{
  HostId m_server;
  // Copied from the request.
  Millis m_askedAt;
};

// How a server responded to a request that was sent by a turn.
struct ColdTurnResponse
{
  HostId m_server;
  // Whether it responded within the usual time, and neither refused nor failed.
  bool m_isGood = true;
};

// A request for a turn, as its receiver gets it.
struct ColdTurnRequested
{
  NodeId m_asker;
  // Identifies the run of the asker's process. A grant must not reach another
  // run, which has another clock.
  uint64_t m_incarnation = 0;
  ColdTurnRequest m_request;
};

// A turn that another node grants to this one.
struct ColdTurnGranted
{
  NodeId m_holder;
  ColdTurn m_turn;
};

// Another node will not use a turn any more that this one has granted to it.
struct ColdTurnEnded
{
  NodeId m_asker;
  // The run of the asker's process that has ended the turn.
  uint64_t m_incarnation = 0;
  ColdTurn m_turn;
};

// Send a request for a turn to another node.
struct AskForColdTurn
{
  NodeId m_node;
  ColdTurnRequest m_request;
};

// Grant a turn to the run of another node that requested it.
struct GrantColdTurn
{
  NodeId m_asker;
  uint64_t m_incarnation = 0;
  ColdTurn m_turn;
};

// Tell the node that granted a turn that this one will not use it any more.
struct EndColdTurn
{
  NodeId m_holder;
  ColdTurn m_turn;
};

// Tell the node that granted a turn how the server responded.
struct ReportTurnResponse
{
  NodeId m_holder;
  ColdTurnResponse m_response;
};

} // namespace briarglade
