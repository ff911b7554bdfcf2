// The rows that the entry nodes write to the store: one for each node, and one
// for the control lease.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/entry/store_version.h"
#include "briarglade/storage/table.h"

namespace briarglade {

// A node's registration.
struct NodeRow
{
  NodeId m_node;
  ZoneId m_zone;
  Endpoint m_callerAddress;
  Endpoint m_peerAddress;
  // Differs between two runs of the process.
  uint64_t m_incarnation = 0;
  // The processor time that the node may use, in thousandths of a core.
  uint32_t m_processorShare = 0;
};

// The holder of the control lease, which controls the groups.
struct LeaseRow
{
  NodeId m_holder;
  uint64_t m_incarnation = 0;
  // The end of the lease on the store's clock.
  Millis m_until;
  // The store's era in which it was granted or renewed.
  StoreEra m_era;
};

// Keys of the rows; the key of a node's row is the prefix and the node's ID.
constexpr char kNodeRowPrefix[] = "node/";
constexpr char kLeaseRowKey[] = "lease/control";

// Returns the key of a node's row.
RowKey NodeRowKey(const NodeId& aNode);

// Return the text that the store holds for a row.
std::string EncodeNodeRow(const NodeRow& aRow);
std::string EncodeLeaseRow(const LeaseRow& aRow);
// Return nothing if the text is not a valid row of that type.
std::optional<NodeRow> DecodeNodeRow(const std::string& aText);
std::optional<LeaseRow> DecodeLeaseRow(const std::string& aText);

} // namespace briarglade
