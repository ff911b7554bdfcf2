// One blocking call on a loop of its own.

#include "briarglade/cli/operator_client.h"

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_call.h"
#include "briarglade/net/http_client.h"

namespace briarglade {

namespace {

constexpr Millis kCallTimeout = Millis(30'000);

} // namespace

Result<OperatorAnswer> CallOperator(const Endpoint& aNode,
                                    const std::string& aKey,
                                    const std::string& aMethod,
                                    const std::string& aPath,
                                    const std::string& aBody)
{
  EventLoop loop;
  HttpClient client(loop, HttpClientLimits());
  OperatorAnswer answer;
  ExchangeEnd end = ExchangeEnd::Cancelled;
  HttpCallSpec spec;
  spec.m_endpoint = aNode;
  spec.m_method = aMethod;
  spec.m_path = aPath;
  spec.m_body = aBody;
  spec.m_timeout = kCallTimeout;
  spec.m_headers = { { "Authorization", "Bearer " + aKey },
                     { "Content-Type", "application/json" },
                     { "Connection", "close" } };
  spec.m_onData = [&](std::string_view aData) { answer.m_body.append(aData); };
  spec.m_onEnd = [&](const HttpCallEnd& aEnd) {
    end = aEnd.m_end;
    answer.m_status = aEnd.m_status;
    loop.Stop();
  };
  const std::shared_ptr<HttpCall> call = client.Start(std::move(spec));
  loop.Run();
  if (end != ExchangeEnd::Whole) {
    return Error{ ResultCode::Internal,
                  "no whole answer from the node at " + aNode.ToString() };
  }
  return answer;
}

} // namespace briarglade
