// The identifiers and counted units that the components share.

#pragma once

#include "briarglade/base/strong_id.h"

namespace briarglade {

// An entry host's process, one of ours.
using NodeId = StrongId<struct NodeIdTag>;
// A machine that runs a backend server; one backend server runs on each host.
using HostId = StrongId<struct HostIdTag>;
// A complete set of hosts that together hold one replica of a model.
using GroupId = StrongId<struct GroupIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
// An availability zone.
using ZoneId = StrongId<struct ZoneIdTag>;
// A fabric domain.
using DomainId = StrongId<struct DomainIdTag>;
using ModelId = StrongId<struct ModelIdTag>;
// A plain service.
using ServiceId = StrongId<struct ServiceIdTag>;
// A client account.
using AccountId = StrongId<struct AccountIdTag>;
// A traffic class of a client account, such as "interactive" or "batch".
using ClassId = StrongId<struct ClassIdTag>;
// One caller request, carried from end to end.
using RequestId = StrongId<struct RequestIdTag>;
// One try of a request at one backend server.
using AttemptId = StrongId<struct AttemptIdTag>;
// One conditional write to the table service, unique to it.
using OperationId = StrongId<struct OperationIdTag>;
// One run of a backend server between two starts.
using BootId = StrongId<struct BootIdTag>;
// A client's Idempotency-Key.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

// The version of the fleet configuration of a region.
using ConfigVersion = StrongCount<struct ConfigVersionTag>;
// The generation of a group: raised each time its members change.
using Generation = StrongCount<struct GenerationTag>;
// The fencing token of a lease: raised each time the holder changes.
using FencingToken = StrongCount<struct FencingTokenTag>;
// A part of a prompt that several requests may share, such as a document.
using PromptPartId = StrongCount<struct PromptPartIdTag>;
// The xxhash of a request's route and body.
using Fingerprint = StrongCount<struct FingerprintTag>;

} // namespace briarglade
