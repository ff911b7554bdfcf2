// The routes that a node may use: complete groups of models, and servers of
// plain services, as last reported by placement and presence. Routing uses no
// other source.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

// The destination that a request names: a model, or a plain service.
struct RouteTarget
{
  // Exactly one of the two members is set.
  ModelId m_model;
  ServiceId m_service;

  bool operator==(const RouteTarget& aOther) const
  {
    return m_model == aOther.m_model && m_service == aOther.m_service;
  }
  bool operator<(const RouteTarget& aOther) const
  {
    return m_model != aOther.m_model ? m_model < aOther.m_model
                                     : m_service < aOther.m_service;
  }
};

// One destination for requests: the leader of a group, or a plain server. A
// plain server is represented as a group of one host with the name of that
// host.
struct Route
{
  GroupId m_group;
  RouteTarget m_target;
  ZoneId m_zone;
  DomainId m_domain;
  Endpoint m_leader;
  // The boot id of the leader. A new boot id means that the server is cold.
  BootId m_boot;
  Generation m_generation;
  // True if recent reports of all members name the expected group and
  // generation.
  bool m_complete = false;
  // True if the group must not get new requests because it or its host is
  // leaving.
  bool m_draining = false;
  // The shortest uptime among the members, as of m_reportedAt.
  Millis m_uptime;
  // Running and waiting requests at the group, as of m_loadAge before
  // m_reportedAt.
  uint32_t m_load = 0;
  Millis m_loadAge;
  Millis m_reportedAt;
  uint32_t m_requestLimit = 1;
  uint32_t m_coldLimit = 1;
  Millis m_warmUp;

  bool operator==(const Route& aOther) const
  {
    const auto fields = [](const Route& aRoute) {
      return std::tie(aRoute.m_group,
                      aRoute.m_target,
                      aRoute.m_zone,
                      aRoute.m_domain,
                      aRoute.m_leader,
                      aRoute.m_boot,
                      aRoute.m_generation,
                      aRoute.m_complete,
                      aRoute.m_draining,
                      aRoute.m_uptime,
                      aRoute.m_load,
                      aRoute.m_loadAge,
                      aRoute.m_reportedAt,
                      aRoute.m_requestLimit,
                      aRoute.m_coldLimit,
                      aRoute.m_warmUp);
    };
    return fields(*this) == fields(aOther);
  }
};

} // namespace briarglade
