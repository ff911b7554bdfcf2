// The routes a node may use: complete groups of models and servers of plain
// services, as placement and presence last told. Routing never looks further.

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

// What a request asks for: a model, or an operation of a plain service.
struct RouteTarget
{
  // Exactly one of the two is set.
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

// One place to send requests: a group's leader, or a plain server. A plain
// server is a group of one host, named after the host.
struct Route
{
  GroupId m_group;
  RouteTarget m_target;
  ZoneId m_zone;
  DomainId m_domain;
  Endpoint m_leader;
  // The boot id of the leader: a new one means a cold server.
  BootId m_boot;
  Generation m_generation;
  // Every member reports the expected group and generation, freshly.
  bool m_complete = false;
  // No new work: the group or its host is leaving.
  bool m_draining = false;
  // The shortest uptime among the members, at m_reportedAt.
  Millis m_uptime;
  // Running and waiting requests, reported m_loadAge before m_reportedAt.
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
