// Encodes and decodes requests, answers and address lists for a platform's wire
// format. A binding provides the hooks; the gateway uses only the decoded
// types.

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

// The decoded head of a caller's request.
struct CallerRequest
{
  std::string m_host;
  // The caller's identifier for this request, returned in every answer to it.
  std::string m_attemptName;
  std::string m_accountKey;
  ModelId m_model;
  // The number of prompt tokens, the maximum number of answer tokens, and the
  // caller's estimate of the number of answer tokens; zero if not given.
  uint32_t m_promptTokens = 0;
  uint32_t m_maxAnswerTokens = 0;
  uint32_t m_expectedAnswerTokens = 0;
  // The parts of the prompt that other requests may share, in order.
  std::vector<PromptPartId> m_sharedParts;
  // The maximum time that the caller waits for the answer.
  std::optional<Millis> m_maxWait;
  // The id of the last event of a stream that the caller has received, as it
  // came.
  std::optional<std::string> m_lastEvent;
};

// A caller's query for the addresses of entry nodes.
struct AddressQuery
{
  // The caller's zone; empty if not given.
  ZoneId m_zone;
};

// The data that this node adds to a request to a backend server.
struct AttemptHead
{
  HostId m_server;
  AccountId m_account;
  // The time left until the request times out.
  Millis m_timeLeft;
  // Zero is the most urgent value.
  int32_t m_urgency = 0;
  // The id of the last event that the caller has of this answer. Without one,
  // the caller's own header is passed on as it came.
  std::optional<std::string> m_lastEvent;
};

// The decoded head of a backend server's answer.
struct AnswerHead
{
  uint16_t m_status = 0;
  std::string m_attemptName;
  // The answer carries a signature.
  bool m_isSigned = false;
  // The server reports that it did not run the request.
  bool m_isNotRun = false;
  // The body has a content encoding, so it isn't the server's own bytes.
  bool m_isEncoded = false;
  Millis m_retryAfter;
  // The number of running and waiting requests, if the server reports it.
  std::optional<uint32_t> m_load;
  // The server is shutting down and should get no new requests.
  bool m_isServerLeaving = false;
  // Requests per second that the server accepts from all nodes together, if it
  // states a limit.
  std::optional<double> m_rateLimit;
  // The server that prevents a group from serving; empty if not reported.
  HostId m_faultyServer;
};

// The hooks of one wire format.
struct WireCodec
{
  // Decodes the head of a caller's request. Returns MalformedRequest if it is
  // invalid.
  std::function<Result<CallerRequest>(const HttpExchange&)> m_decodeRequest;
  // Returns the headers of the request to a server, made from the caller's
  // headers.
  std::function<HttpHeaders(const HttpHeaders&, const AttemptHead&)>
    m_encodeAttempt;
  // Decodes the head of a server's answer.
  std::function<AnswerHead(const HttpAnswerHead&)> m_decodeAnswer;
  // Returns those headers of a server's answer that are passed to the caller.
  std::function<HttpHeaders(const HttpHeaders&)> m_encodeAnswer;
  // Returns the headers of an answer that this node itself generates.
  std::function<HttpHeaders(const std::string& aAttemptName,
                            Millis aRetryAfter)>
    m_encodeOwnAnswer;
  // Returns the body of an address list.
  std::function<std::string(const std::vector<Endpoint>&, Millis aLifetime)>
    m_encodeAddresses;
  // Decodes a caller's address query. Returns nothing for other requests.
  std::function<std::optional<AddressQuery>(const HttpExchange&)>
    m_decodeAddressQuery;
  // Returns whether a request is a readiness check.
  std::function<bool(const HttpExchange&)> m_isReadinessCheck;
};

} // namespace briarglade
