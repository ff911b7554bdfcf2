// What operators may ask of a node, over HTTP on a listener of its own.
//
//   POST /operator/apply    {"fleet", "base", "who", "why"}
//   POST /operator/zone     {"zone", "state", "who", "why"}
//   GET  /operator/status
//   GET  /operator/explain?subject=ID
//
// Each call carries the operator key as bearer. Answers are JSON with "code".

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "briarglade/core/event.h"
#include "briarglade/membership/operator_command.h"

namespace briarglade {

class HttpExchange;

// What the operator listener needs from the node.
struct OperatorHooks
{
  std::function<void(EventBody)> m_dispatch;
  std::function<std::string()> m_renderStatus;
  std::function<std::string(const std::string& aSubject)> m_renderExplanation;
  std::function<CommandId()> m_nextCommand;
  // Milliseconds since 1970, for the record of changes.
  std::function<uint64_t()> m_unixMillis;
};

class OperatorApi
{
public:
  OperatorApi(std::string aOperatorKey, OperatorHooks aHooks);

  // Answers one request; commands are answered later by Answer().
  void Handle(const std::shared_ptr<HttpExchange>& aExchange);
  // Hands a command's answer to the operator who waits for it.
  void Answer(const CommandAnswer& aAnswer);

private:
  void HandleApply(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleZone(const std::shared_ptr<HttpExchange>& aExchange);

  std::string m_operatorKey;
  OperatorHooks m_hooks;
  std::map<CommandId, std::shared_ptr<HttpExchange>> m_waiting;
};

} // namespace briarglade
