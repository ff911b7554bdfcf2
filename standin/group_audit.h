// Checks on the stand-in model servers: no request runs in an incomplete group,
// and no server is taken out of a group that serves.
//
// Example:
//   audit.Add(member);
//   audit.BeforeJoin(member, order group);
//   audit.BeforeRun(member);
//   for (const std::string& violation : audit.Violations()) { ... }

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace briarglade::standin {

class PlatformMember;

class GroupAudit
{
public:
  // The server is up, or down.
  void Add(const PlatformMember& aMember);
  void Remove(const std::string& aId);

  // The server is about to join a group.
  void BeforeJoin(const PlatformMember& aMember, const std::string& aGroup);
  // The server has become ready.
  void NoteReady(const PlatformMember& aMember);
  // The server, a leader, is about to run a request.
  void BeforeRun(const PlatformMember& aMember);
  // Tells whether every member of the server's group is up and in it.
  bool IsWhole(const PlatformMember& aMember) const;

  // Returns what broke a rule, in order.
  const std::vector<std::string>& Violations() const { return m_violations; }

private:
  using Readiness = std::tuple<std::string, std::string, uint64_t>;

  static Readiness ReadinessOf(const PlatformMember& aLeader,
                               const std::string& aId);

  std::map<std::string, const PlatformMember*> m_up;
  // Which server has been ready in which group and generation.
  std::set<Readiness> m_wasReady;
  std::vector<std::string> m_violations;
};

} // namespace briarglade::standin
