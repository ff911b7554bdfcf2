// The part of a stand-in model server that belongs to groups: it takes orders
// as the users' platform's servers do. No sockets and no clock of its own.
//
// Example:
//   PlatformMember member(options);
//   const uint16_t status = member.Take(now, order);
//   member.Advance(now);

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "briarglade/base/millis.h"
#include "briarglade/grouping/server_record.h"

namespace briarglade::standin {

struct PlatformModel
{
  std::string m_name;
  uint32_t m_size = 1;
  // Time to load the weights, and to join with weights that the host has.
  Millis m_loadTime;
  Millis m_warmTime;
};

struct PlatformMemberOptions
{
  std::string m_domain;
  std::vector<PlatformModel> m_models;
  // From the order to open to the first request.
  Millis m_formationTime = Millis(100);
  bool m_checksFencing = true;
};

class PlatformMember
{
public:
  explicit PlatformMember(PlatformMemberOptions aOptions);

  // The server has started, under an id: it knows nothing of before but the
  // weights that lie on its host.
  void Start(const std::string& aId);
  // Carries an order out; returns the status of the answer.
  uint16_t Take(Millis aNow, const nlohmann::json& aOrder);
  // Lets what takes time come to its end. Returns whether anything changed.
  bool Advance(Millis aNow);
  // The group has stood still for too long.
  void Break();

  const std::string& Id() const { return m_id; }
  bool IsInGroup() const { return !m_group.empty(); }
  const std::string& Group() const { return m_group; }
  uint64_t Generation() const { return m_generation; }
  const std::vector<std::string>& Members() const { return m_members; }
  const PlatformModel* Model() const { return FindModel(m_model); }
  GroupPhase Phase() const { return m_phase; }
  bool IsHead() const { return !m_members.empty() && m_members[0] == m_id; }
  // Returns the fields that entries and reports have in common.
  nlohmann::json Describe() const;

private:
  uint16_t Join(Millis aNow, const nlohmann::json& aOrder);
  uint16_t Open(Millis aNow);
  uint16_t Close();
  uint16_t Leave();
  uint16_t Stage(Millis aNow, const nlohmann::json& aOrder);
  bool IsMine(const nlohmann::json& aOrder) const;
  const PlatformModel* FindModel(const std::string& aName) const;

  PlatformMemberOptions m_options;
  std::string m_id;
  uint64_t m_orders = 0;
  uint64_t m_fencing = 0;
  uint64_t m_lowestGeneration = 0;
  std::string m_staged;
  std::string m_lastModel;

  std::string m_group;
  uint64_t m_generation = 0;
  std::string m_model;
  std::vector<std::string> m_members;
  GroupPhase m_phase = GroupPhase::Joining;
  Millis m_readyAt;
  // Set while an order to open is being carried out.
  bool m_isOpening = false;
  Millis m_openAt;
  // Weights that are being staged.
  std::string m_staging;
  Millis m_stagedAt;
};

} // namespace briarglade::standin
