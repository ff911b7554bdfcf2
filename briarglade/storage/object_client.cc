// Objects over HTTP.

#include "briarglade/storage/object_client.h"

#include <memory>
#include <string>
#include <utility>

#include "briarglade/net/http_call.h"
#include "briarglade/net/http_client.h"

namespace briarglade {

namespace {

constexpr uint16_t kOk = 200;
constexpr uint16_t kNotFound = 404;

TableStatus StatusOf(const HttpCallEnd& aEnd)
{
  if (aEnd.m_end == ExchangeEnd::ConnectRefused ||
      aEnd.m_end == ExchangeEnd::ResetBeforeSend) {
    return TableStatus::Unreachable;
  }
  if (aEnd.m_end != ExchangeEnd::Whole) {
    return TableStatus::Unknown;
  }
  if (aEnd.m_status == kOk) {
    return TableStatus::Ok;
  }
  return aEnd.m_status == kNotFound ? TableStatus::NotFound
                                    : TableStatus::Unreachable;
}

HttpCallSpec MakeSpec(const Endpoint& aEndpoint,
                      Millis aTimeout,
                      const char* aMethod,
                      const ObjectName& aName)
{
  HttpCallSpec spec;
  spec.m_endpoint = aEndpoint;
  spec.m_timeout = aTimeout;
  spec.m_method = aMethod;
  spec.m_path = "/v1/objects/" + aName.Value();
  return spec;
}

} // namespace

ObjectStoreService MakeHttpObjectStore(HttpClient& aClient,
                                       const Endpoint& aEndpoint,
                                       Millis aTimeout)
{
  ObjectStoreService service;
  service.m_write = [&aClient, aEndpoint, aTimeout](const ObjectWrite& aWrite,
                                                    ObjectResultHandler aDone) {
    HttpCallSpec spec = MakeSpec(
      aEndpoint, aTimeout, aWrite.m_value ? "PUT" : "DELETE", aWrite.m_name);
    if (aWrite.m_value) {
      spec.m_body = *aWrite.m_value;
    }
    spec.m_onEnd = [operation = aWrite.m_operation,
                    done = std::move(aDone)](const HttpCallEnd& aEnd) {
      done(ObjectResult{ operation, StatusOf(aEnd), nullptr });
    };
    aClient.Start(std::move(spec));
  };
  service.m_read = [&aClient, aEndpoint, aTimeout](const ObjectRead& aRead,
                                                   ObjectResultHandler aDone) {
    auto body = std::make_shared<std::string>();
    HttpCallSpec spec = MakeSpec(aEndpoint, aTimeout, "GET", aRead.m_name);
    spec.m_onData = [body](std::string_view aData) { body->append(aData); };
    spec.m_onEnd = [body,
                    operation = aRead.m_operation,
                    done = std::move(aDone)](const HttpCallEnd& aEnd) {
      const TableStatus status = StatusOf(aEnd);
      done(ObjectResult{
        operation, status, status == TableStatus::Ok ? body : nullptr });
    };
    aClient.Start(std::move(spec));
  };
  return service;
}

} // namespace briarglade
