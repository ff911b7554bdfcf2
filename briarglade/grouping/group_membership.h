// A backend server's membership in a group, as it reports it.

#pragma once

#include <cstdint>

#include "briarglade/base/ids.h"

namespace briarglade {

// The phase of a group as reported by one of its members.
enum class GroupPhase
{
  // The member is loading the model.
  Joining,
  // The member is ready to serve once the group is opened.
  Ready,
  // The leader serves requests.
  Open,
  // The leader finishes its running requests and accepts no new ones.
  Closing,
  // The leader has abandoned the group.
  Broken
};

// Returns the lower-case name of a phase, for logs.
const char* GroupPhaseName(GroupPhase aPhase);

// A server's membership in a group.
struct GroupMembership
{
  GroupId m_group;
  Generation m_generation;
  // 0 is the leader, which receives the requests.
  uint32_t m_rank = 0;
  GroupPhase m_phase = GroupPhase::Joining;

  bool operator==(const GroupMembership& aOther) const
  {
    return m_group == aOther.m_group && m_generation == aOther.m_generation &&
           m_rank == aOther.m_rank && m_phase == aOther.m_phase;
  }
};

} // namespace briarglade
