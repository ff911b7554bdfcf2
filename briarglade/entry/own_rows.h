// The product's own rows in the store: one for each node, and one for the
// control lease.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/storage/table.h"

namespace briarglade {

// A node, as it registers itself.
struct NodeRow
{
  NodeId m_node;
  ZoneId m_zone;
  Endpoint m_callerAddress;
  Endpoint m_peerAddress;
  // Differs between two runs of the process.
  uint64_t m_incarnation = 0;
  // Thousandths of a core that the node may use.
  uint32_t m_processorShare = 0;
};

// Who controls the groups, and until when on the store's clock.
struct LeaseRow
{
  NodeId m_holder;
  uint64_t m_incarnation = 0;
  Millis m_until;
};

constexpr char kNodeRowPrefix[] = "node/";
constexpr char kLeaseRowKey[] = "lease/control";

RowKey NodeRowKey(const NodeId& aNode);

std::string EncodeNodeRow(const NodeRow& aRow);
std::string EncodeLeaseRow(const LeaseRow& aRow);
// Return nothing for a text that isn't such a row.
std::optional<NodeRow> DecodeNodeRow(const std::string& aText);
std::optional<LeaseRow> DecodeLeaseRow(const std::string& aText);

} // namespace briarglade
