// Tests of what callers may ask, over a real listener.

#include "briarglade/node/caller_api.h"

#include <doctest/doctest.h>
#include <string>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "briarglade/net/http_server.h"
#include "standin/raw_client.h"

namespace briarglade::standin {
namespace {

FleetConfig MakeFleet()
{
  FleetConfig fleet;
  for (const char* name : { "drafting", "secret" }) {
    ModelConfig model;
    model.m_id = ModelId(name);
    model.m_requestTimeout = Millis(60'000);
    fleet.m_models[model.m_id] = model;
  }
  ServiceConfig desk;
  desk.m_id = ServiceId("order-desk");
  desk.m_operations = { { "book", false }, { "status", true } };
  fleet.m_services[desk.m_id] = desk;
  AccountConfig account;
  account.m_id = AccountId("councils");
  account.m_keyHashes = { HashBearerKey("right") };
  account.m_classes = { { ClassId("interactive"), 1, 5 } };
  account.m_models = { ModelId("drafting") };
  account.m_services = { desk.m_id };
  fleet.m_accounts[account.m_id] = account;
  return fleet;
}

// Sends a request through a listener and returns what the API made of it.
Result<RequestArrived> Parse(const std::string& aPath,
                             const std::string& aHeaders,
                             const std::string& aBody)
{
  EventLoop loop;
  CallerApi api;
  api.SetFleet(MakeFleet());
  HttpServer server(loop, HttpServerLimits());
  Result<RequestArrived> result = Error{};
  server.SetHandler([&](const std::shared_ptr<HttpExchange>& aExchange) {
    result = api.Parse(*aExchange, RequestId("r"), Millis(1'000));
    loop.Stop();
  });
  RawClient client(loop, server.Listen({ "127.0.0.1", 0 }));
  client.Send("POST " + aPath + " HTTP/1.1\r\n" + aHeaders +
              "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
              aBody);
  loop.Run();
  return result;
}

const std::string kKey = "Authorization: Bearer right\r\n";
const std::string kChat = "/v1/chat/completions";
const std::string kMessages =
  "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]";

struct BadRequest
{
  const char* m_name;
  std::string m_path;
  std::string m_headers;
  std::string m_body;
  ResultCode m_expected;
};

TEST_CASE("each bad request gets its numbered code")
{
  const std::string good = "{\"model\":\"drafting\"," + kMessages + "}";
  const BadRequest requests[] = {
    { "no key", kChat, "", good, ResultCode::UnknownKey },
    { "wrong key",
      kChat,
      "Authorization: Bearer wrong\r\n",
      good,
      ResultCode::UnknownKey },
    { "unknown class",
      kChat,
      kKey + "Briarglade-Class: night\r\n",
      good,
      ResultCode::NotAllowed },
    { "not JSON", kChat, kKey, "{\"model\":", ResultCode::MalformedRequest },
    { "no messages",
      kChat,
      kKey,
      "{\"model\":\"drafting\"}",
      ResultCode::MalformedRequest },
    { "stream isn't a boolean",
      kChat,
      kKey,
      "{\"model\":\"drafting\",\"stream\":1," + kMessages + "}",
      ResultCode::MalformedRequest },
    { "unknown model",
      kChat,
      kKey,
      "{\"model\":\"other\"," + kMessages + "}",
      ResultCode::UnknownModel },
    { "another account's model",
      kChat,
      kKey,
      "{\"model\":\"secret\"," + kMessages + "}",
      ResultCode::NotAllowed },
    { "unknown path", "/v2/other", kKey, good, ResultCode::UnknownPath },
    { "unknown service",
      "/services/none/book",
      kKey,
      "{}",
      ResultCode::UnknownService },
    { "unknown operation",
      "/services/order-desk/none",
      kKey,
      "{}",
      ResultCode::UnknownService },
    { "no idempotency key",
      "/services/order-desk/book",
      kKey,
      "{}",
      ResultCode::IdempotencyKeyMissing },
  };
  for (const BadRequest& request : requests) {
    CAPTURE(std::string(request.m_name));
    const Result<RequestArrived> result =
      Parse(request.m_path, request.m_headers, request.m_body);
    REQUIRE(GetError(result) != nullptr);
    CHECK(GetError(result)->m_code == request.m_expected);
  }
}

TEST_CASE("a good request is understood, and may shorten its time")
{
  const Result<RequestArrived> result =
    Parse(kChat,
          kKey + "Briarglade-Deadline-Ms: 500\r\n",
          "{\"model\":\"drafting\",\"stream\":true," + kMessages + "}");
  REQUIRE(GetError(result) == nullptr);
  const auto& request = std::get<RequestArrived>(result);
  CHECK(request.m_account == AccountId("councils"));
  CHECK(request.m_class == ClassId("interactive"));
  CHECK(request.m_priority == 5);
  CHECK(request.m_streaming);
  CHECK(request.m_deadline == Millis(1'500));
}

TEST_CASE("a body nested hundreds of thousands deep is no harm")
{
  constexpr size_t kDepth = 400'000;
  const std::string nested =
    std::string(kDepth, '[') + std::string(kDepth, ']');
  const Result<RequestArrived> result = Parse(
    kChat, kKey, "{\"model\":\"drafting\",\"messages\":[" + nested + "]}");
  CHECK(GetError(result) == nullptr);
}

} // namespace
} // namespace briarglade::standin
