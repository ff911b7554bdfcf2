// What nodes tell each other about requests that crash backend servers. Ages
// are as of when a message is sent; clocks of nodes are never compared.

#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/gateway/server_run.h"

namespace briarglade {

enum class TraitKind : uint8_t
{
  // The request itself, by its fingerprint.
  Request,
  // A part of its prompt that other requests may share.
  PromptPart
};

// Something by which a harmful request can be recognized.
struct RequestTrait
{
  TraitKind m_kind = TraitKind::Request;
  // The fingerprint, or the id of the part.
  uint64_t m_value = 0;

  bool operator==(const RequestTrait& aOther) const
  {
    return m_kind == aOther.m_kind && m_value == aOther.m_value;
  }
  bool operator<(const RequestTrait& aOther) const
  {
    return std::tie(m_kind, m_value) < std::tie(aOther.m_kind, aOther.m_value);
  }
};

// A request that was beginning to be answered, or was waiting, when its server
// crashed: the request or a bystander may be the cause.
struct CrashEvidence
{
  ServerRun m_server;
  DomainId m_domain;
  // Time since the crash.
  Millis m_age;
  std::vector<RequestTrait> m_traits;
};

// The trait is not the cause of the crashes up to a moment.
struct TraitClearance
{
  RequestTrait m_trait;
  // Time since that moment.
  Millis m_age;
};

// Requests that have the trait and all its companions are refused.
struct TraitRefusal
{
  RequestTrait m_trait;
  // Traits that were present at each of the crashes, together with this one.
  std::vector<RequestTrait> m_companions;
  // Time since the last crash.
  Millis m_crashAge;
  // How much longer such requests are refused.
  Millis m_remaining;
};

} // namespace briarglade
