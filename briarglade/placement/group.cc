// Names and JSON form of groups.

#include "briarglade/placement/group.h"

#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>
#include <utility>

namespace briarglade {

namespace {

using nlohmann::json;

constexpr const char* kStateNames[] = { "assigned", "loading",  "warming",
                                        "serving",  "draining", "released" };
constexpr const char* kReasonNames[] = { "none",
                                         "formed",
                                         "replaced-missing",
                                         "replaced-straggler",
                                         "replaced-leaving",
                                         "merged",
                                         "dissolved",
                                         "awaiting-return",
                                         "too-few-hosts",
                                         "surplus",
                                         "zone-out",
                                         "resumed",
                                         "drain-straggler",
                                         "drain-leaving",
                                         "member-restarted",
                                         "drained",
                                         "progress" };

GroupState ParseState(const std::string& aName)
{
  for (size_t index = 0; index < std::size(kStateNames); ++index) {
    if (aName == kStateNames[index]) {
      return static_cast<GroupState>(index);
    }
  }
  return GroupState::Draining;
}

MoveReason ParseReason(const std::string& aName)
{
  for (size_t index = 0; index < std::size(kReasonNames); ++index) {
    if (aName == kReasonNames[index]) {
      return static_cast<MoveReason>(index);
    }
  }
  return MoveReason::None;
}

json GroupToJson(const Group& aGroup)
{
  json members = json::array();
  for (const HostId& host : aGroup.m_members) {
    members.push_back(host.Value());
  }
  return { { "id", aGroup.m_id.Value() },
           { "model", aGroup.m_model.Value() },
           { "generation", aGroup.m_generation.Value() },
           { "members", std::move(members) },
           { "state", GroupStateName(aGroup.m_state) },
           { "reason", MoveReasonName(aGroup.m_reason) } };
}

Group GroupFromJson(const json& aJson)
{
  Group group;
  group.m_id = GroupId(aJson.at("id").get<std::string>());
  group.m_model = ModelId(aJson.at("model").get<std::string>());
  group.m_generation = Generation(aJson.at("generation").get<uint64_t>());
  for (const json& host : aJson.at("members")) {
    group.m_members.emplace_back(host.get<std::string>());
  }
  group.m_state = ParseState(aJson.at("state").get<std::string>());
  group.m_reason = ParseReason(aJson.at("reason").get<std::string>());
  return group;
}

auto Fields(const Group& aGroup)
{
  return std::tie(aGroup.m_id,
                  aGroup.m_model,
                  aGroup.m_generation,
                  aGroup.m_members,
                  aGroup.m_state,
                  aGroup.m_reason);
}

} // namespace

const char* GroupStateName(GroupState aState)
{
  return kStateNames[static_cast<size_t>(aState)];
}

const char* MoveReasonName(MoveReason aReason)
{
  return kReasonNames[static_cast<size_t>(aReason)];
}

bool operator==(const Group& aA, const Group& aB)
{
  return Fields(aA) == Fields(aB);
}

bool operator==(const DomainRow& aA, const DomainRow& aB)
{
  return aA.m_groups == aB.m_groups && aA.m_nextNumber == aB.m_nextNumber &&
         aA.m_usableHosts == aB.m_usableHosts;
}

std::string DomainRowToJson(const DomainRow& aRow)
{
  json groups = json::array();
  for (const Group& group : aRow.m_groups) {
    groups.push_back(GroupToJson(group));
  }
  return json{
    { "groups", std::move(groups) },
    { "next", aRow.m_nextNumber },
    { "usable", aRow.m_usableHosts }
  }.dump();
}

bool DomainRowFromJson(const std::string& aText, DomainRow& aRow)
{
  aRow = DomainRow();
  try {
    const json row = json::parse(aText);
    for (const json& group : row.at("groups")) {
      aRow.m_groups.push_back(GroupFromJson(group));
    }
    aRow.m_nextNumber = row.at("next").get<uint64_t>();
    aRow.m_usableHosts = row.at("usable").get<uint32_t>();
    return true;
  } catch (const json::exception&) {
    aRow = DomainRow();
    return false;
  }
}

bool TakesWork(const Group& aGroup)
{
  return aGroup.m_state != GroupState::Draining &&
         aGroup.m_state != GroupState::Released;
}

bool HostsAreDistinct(const DomainRow& aRow)
{
  std::set<HostId> seen;
  for (const Group& group : aRow.m_groups) {
    for (const HostId& host : group.m_members) {
      if (!seen.insert(host).second) {
        return false;
      }
    }
  }
  return true;
}

} // namespace briarglade
