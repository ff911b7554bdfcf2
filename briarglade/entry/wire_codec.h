// How requests, answers and address lists look on a platform's wire. A binding
// fills the hooks; the gateway sees only the decoded types.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/result.h"
#include "briarglade/net/http_client.h"
#include "briarglade/net/http_headers.h"

namespace briarglade {

class HttpExchange;

// What a caller's request says in its head.
struct CallerRequest
{
  std::string m_host;
  // The caller's own name for this request; echoed in every answer to it.
  std::string m_attemptName;
  std::string m_accountKey;
  ModelId m_model;
  // Prompt tokens, the most tokens that may be written, and the caller's guess
  // of how many will be; zero where not said.
  uint32_t m_promptTokens = 0;
  uint32_t m_maxAnswerTokens = 0;
  uint32_t m_expectedAnswerTokens = 0;
  // How long the caller will wait.
  std::optional<Millis> m_patience;
  // The last event of a stream that the caller has.
  std::optional<uint64_t> m_lastEvent;
};

// A caller asks which addresses to use.
struct AddressQuestion
{
  // Where the caller is; empty: not said.
  ZoneId m_zone;
};

// What this node adds to a request for one backend server.
struct AttemptHead
{
  HostId m_server;
  AccountId m_account;
  Millis m_timeLeft;
  // Zero is the most urgent.
  int32_t m_urgency = 0;
  std::optional<uint64_t> m_lastEvent;
};

// What the head of a backend server's answer says.
struct AnswerFacts
{
  uint16_t m_status = 0;
  std::string m_attemptName;
  bool m_isSigned = false;
  // The server says that it did not run the request.
  bool m_isNotRun = false;
  // The body isn't the server's own bytes.
  bool m_isEncoded = false;
  Millis m_retryAfter;
  // Running and waiting requests, where the server tells them.
  std::optional<uint32_t> m_load;
  // The server is shutting down and should get no new requests.
  bool m_isServerLeaving = false;
  // The server that keeps a group from serving.
  HostId m_faultyServer;
};

struct WireCodec
{
  // Returns MalformedRequest for a head that can't be served.
  std::function<Result<CallerRequest>(const HttpExchange&)> m_decodeRequest;
  // Returns the headers to send to a server for a caller's headers.
  std::function<HttpHeaders(const HttpHeaders&, const AttemptHead&)>
    m_encodeAttempt;
  std::function<AnswerFacts(const HttpAnswerHead&)> m_decodeAnswer;
  // Returns the headers of a server's answer that the caller gets.
  std::function<HttpHeaders(const HttpHeaders&)> m_encodeAnswer;
  // Returns the headers of an answer of this node's own.
  std::function<HttpHeaders(const std::string& aAttemptName,
                            Millis aRetryAfter)>
    m_encodeOwnAnswer;
  // Returns the body of an address list.
  std::function<std::string(const std::vector<Endpoint>&, Millis aLifetime)>
    m_encodeAddresses;
  // Returns a caller's question which addresses to use; nothing for other
  // requests.
  std::function<std::optional<AddressQuestion>(const HttpExchange&)>
    m_decodeAddressQuestion;
  // Tells a question for readiness from other requests.
  std::function<bool(const HttpExchange&)> m_asksReadiness;
};

} // namespace briarglade
