// What the component for non-idempotent calls takes in and asks for, as data.
//
// The top reducer hands each RequestArrived with m_idempotent false to
// ReduceActions instead of routing. A RunAction effect goes to routing as a
// normal arrival. Routing's FinishRequest for such a request comes back as
// ActionFinished and never goes to the shell by itself.

#pragma once

#include <memory>
#include <variant>

#include "briarglade/base/log_event.h"
#include "briarglade/routing/request_event.h"
#include "briarglade/storage/object_store.h"
#include "briarglade/storage/table.h"

namespace briarglade {

// Time has passed; sent every 50 ms.
struct ActionsTick
{};

// Routing's final word on a request that RunAction handed to it. Its code's
// outcome must be true of every attempt: NotRun only if none can have run.
struct ActionFinished
{
  FinishRequest m_finish;
  // The whole answer of the attempt that m_finish names; null if there is none.
  std::shared_ptr<const StoredAnswer> m_answer;
};

using ActionsEvent = std::variant<ActionsTick,
                                  RequestArrived,
                                  TableResult,
                                  ObjectResult,
                                  ActionFinished,
                                  CallerDisconnected>;

// The record is in the table: route the request, once.
struct RunAction
{
  RequestArrived m_request;
};

using ActionsEffect = std::variant<TableWrite,
                                   TableRead,
                                   ObjectWrite,
                                   ObjectRead,
                                   RunAction,
                                   FinishRequest,
                                   LogEvent>;

using ActionsEffects = std::vector<ActionsEffect>;

} // namespace briarglade
