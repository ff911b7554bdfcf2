// The callers.

#include "standin/platform_callers.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <random>
#include <utility>

#include "briarglade/base/parse_endpoint.h"
#include "briarglade/gateway/event_stream.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_call.h"
#include "briarglade/routing/outcome.h"
#include "platform/wire_names.h"
#include "standin/completion_text.h"

namespace briarglade::standin {

using nlohmann::json;
using namespace platform;

namespace {

constexpr uint16_t kOk = 200;
constexpr uint16_t kFirstFailure = 300;
constexpr uint32_t kMaxRetries = 4;
constexpr Millis kPauseWithoutAddress = Millis(100);
constexpr Millis kDirectoryTimeout = Millis(500);
constexpr Millis kConnectTimeout = Millis(300);
constexpr double kMillisPerSecond = 1'000;

// A prefix that no other process of this machine's tests has.
std::string MakeRunName()
{
  std::random_device source;
  return std::to_string(source());
}

} // namespace

struct PlatformCallers::Request
{
  bool m_isStream = false;
  std::string m_text;
  std::string m_model;
  std::string m_attempt;
  Millis m_startedAt;
  uint32_t m_retries = 0;
  // The answer to the present attempt.
  HttpAnswerHead m_head;
  std::string m_body;
  EventStream m_events;
  // Of a stream: the events so far, of all attempts, and their ids in order.
  std::string m_content;
  uint64_t m_eventCount = 0;
  bool m_isWrong = false;
};

PlatformCallers::PlatformCallers(EventLoop& aLoop,
                                 PlatformCallersOptions aOptions)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_client(aLoop, HttpClientLimits())
  , m_later(aLoop)
{
}

PlatformCallers::~PlatformCallers() = default;

bool PlatformCallers::IsTimeOver() const
{
  return EventLoop::Now() - m_startedAt >= m_options.m_duration;
}

void PlatformCallers::Begin()
{
  m_startedAt = EventLoop::Now();
  AskDirectory([this] {
    for (uint32_t i = 0; i < m_options.m_streams; ++i) {
      StartNext(true);
    }
    for (uint32_t i = 0; i < m_options.m_calls; ++i) {
      StartNext(false);
    }
  });
}

// Asks one directory after the other until one of them has answered.
void PlatformCallers::AskDirectory(std::function<void()> aThen)
{
  HttpCallSpec spec;
  spec.m_endpoint =
    m_options.m_directories[m_nextDirectory++ % m_options.m_directories.size()];
  spec.m_method = "GET";
  spec.m_path = std::string(kDirectoryPath) + "?name=models.example";
  spec.m_timeout = kDirectoryTimeout;
  spec.m_maxIdleAge = kNewConnectionOnly;
  auto body = std::make_shared<std::string>();
  spec.m_onData = [body](std::string_view aData) { body->append(aData); };
  spec.m_onEnd = [this, body, then = std::move(aThen)](const HttpCallEnd&) {
    const json answer = json::parse(*body, nullptr, false);
    std::vector<Endpoint> addresses;
    if (answer.is_object()) {
      for (const json& text : answer.value("addresses", json::array())) {
        const Result<Endpoint> address = ParseEndpoint(text);
        if (GetError(address) == nullptr) {
          addresses.push_back(std::get<Endpoint>(address));
        }
      }
    }
    if (!addresses.empty()) {
      m_addresses = std::move(addresses);
      m_addressesUntil =
        EventLoop::Now() + Millis(static_cast<int64_t>(
                             answer.value("ttl_s", 0.0) * kMillisPerSecond));
    }
    if (m_addresses.empty() && !IsTimeOver()) {
      m_later.After(kPauseWithoutAddress, [this, then] { AskDirectory(then); });
      return;
    }
    then();
  };
  m_client.Start(std::move(spec));
}

void PlatformCallers::StartNext(bool aIsStream)
{
  static const std::string kRunName = MakeRunName();
  if (IsTimeOver()) {
    if (m_running == 0) {
      m_loop.Stop();
    }
    return;
  }
  auto request = std::make_shared<Request>();
  request->m_isStream = aIsStream;
  request->m_startedAt = EventLoop::Now();
  request->m_text = kRunName + "-" + std::to_string(++m_started);
  request->m_model =
    m_options.m_models.empty()
      ? std::string()
      : m_options.m_models[m_started % m_options.m_models.size()];
  ++m_running;
  Send(request);
}

HttpCallSpec PlatformCallers::MakeSpec(const std::shared_ptr<Request>& aRequest)
{
  const Millis left =
    aRequest->m_startedAt + m_options.m_patience - EventLoop::Now();
  HttpCallSpec spec;
  spec.m_endpoint = m_addresses[m_nextAddress++ % m_addresses.size()];
  spec.m_path = aRequest->m_isStream ? "/write/text" : "/book/slot";
  spec.m_timeout = left;
  spec.m_connectTimeout = kConnectTimeout;
  spec.m_headers = { { "Host", "models.example" },
                     { "Content-Type", "application/json" },
                     { kAttemptHeader, aRequest->m_attempt },
                     { kKeyHeader, m_options.m_key },
                     { platform::kDeadlineHeader,
                       std::to_string(left.Count()) } };
  json body = { { "text", aRequest->m_text } };
  if (aRequest->m_isStream) {
    body["events"] = m_options.m_events;
    spec.m_headers.push_back({ kModelHeader, aRequest->m_model });
    spec.m_headers.push_back({ kTokensHeader, "100,20" });
  }
  if (aRequest->m_eventCount > 0) {
    spec.m_headers.push_back(
      { kLastEventHeader, std::to_string(aRequest->m_eventCount) });
  }
  spec.m_body = body.dump();
  return spec;
}

void PlatformCallers::Send(const std::shared_ptr<Request>& aRequest)
{
  if (EventLoop::Now() >= m_addressesUntil || m_addresses.empty()) {
    // The addresses may be kept only for a while.
    m_addressesUntil = EventLoop::Now() + kDirectoryTimeout;
    AskDirectory([this, aRequest] { Send(aRequest); });
    return;
  }
  aRequest->m_attempt =
    aRequest->m_text + "." + std::to_string(aRequest->m_retries);
  aRequest->m_head = HttpAnswerHead();
  aRequest->m_body.clear();
  aRequest->m_events =
    aRequest->m_eventCount > 0
      ? EventStream(std::to_string(aRequest->m_eventCount), ResumedBy::Node)
      : EventStream();
  HttpCallSpec spec = MakeSpec(aRequest);
  spec.m_onHead = [aRequest](const HttpAnswerHead& aHead) {
    aRequest->m_head = aHead;
  };
  spec.m_onData = [aRequest](std::string_view aData) {
    if (!aRequest->m_isStream || aRequest->m_head.m_status != kOk) {
      aRequest->m_body.append(aData);
      return;
    }
    const EventSpan span = aRequest->m_events.Feed(aData);
    aRequest->m_isWrong = aRequest->m_isWrong || span.m_isBroken;
    aRequest->m_content.append(span.m_events);
    aRequest->m_eventCount += span.m_count;
  };
  spec.m_onEnd = [this, aRequest](const HttpCallEnd& aEnd) {
    OnEnd(aRequest, aEnd);
  };
  m_client.Start(std::move(spec));
}

void PlatformCallers::OnEnd(const std::shared_ptr<Request>& aRequest,
                            const HttpCallEnd& aEnd)
{
  const uint16_t status = aRequest->m_head.m_status;
  const bool isWhole = aEnd.m_end == ExchangeEnd::Whole;
  ++m_statuses[isWhole ? status : 0];
  if (isWhole && status < kFirstFailure) {
    Finish(aRequest);
    return;
  }
  const bool wasNotSent = aEnd.m_end == ExchangeEnd::ConnectRefused ||
                          aEnd.m_end == ExchangeEnd::ResetBeforeSend;
  const bool isRefused = isWhole && ImpliesNotRun(status);
  if (isRefused && !aRequest->m_isStream) {
    m_refusedAttempts.insert(aRequest->m_attempt);
  }
  const bool mayRepeat = aRequest->m_isStream || isRefused || wasNotSent;
  const double seconds =
    std::atof(FindHeader(aRequest->m_head.m_headers, "Retry-After").c_str());
  const Millis pause = std::max(
    Millis(20), Millis(static_cast<int64_t>(seconds * kMillisPerSecond)));
  const Millis endsAt = aRequest->m_startedAt + m_options.m_patience;
  const bool isInTime = EventLoop::Now() + pause < endsAt;
  if (mayRepeat && isInTime && aRequest->m_retries < kMaxRetries) {
    Retry(aRequest, pause);
    return;
  }
  ++m_unserved;
  --m_running;
  StartNext(aRequest->m_isStream);
}

void PlatformCallers::Retry(const std::shared_ptr<Request>& aRequest,
                            Millis aPause)
{
  ++aRequest->m_retries;
  m_resumed += aRequest->m_eventCount > 0 ? 1 : 0;
  m_later.After(aPause, [this, aRequest] { Send(aRequest); });
}

// Checks a whole answer against its request.
void PlatformCallers::Finish(const std::shared_ptr<Request>& aRequest)
{
  std::string expected;
  if (aRequest->m_isStream) {
    for (uint64_t id = 1; id <= m_options.m_events; ++id) {
      expected += "id: " + std::to_string(id) + "\ndata:" +
                  CompletionToken(aRequest->m_text, static_cast<uint32_t>(id)) +
                  "\n\n";
    }
  } else {
    expected = json{ { "text", aRequest->m_text } }.dump();
  }
  const std::string& content =
    aRequest->m_isStream ? aRequest->m_content : aRequest->m_body;
  const bool isSigned =
    !FindHeader(aRequest->m_head.m_headers, kSignatureHeader).empty();
  const bool isOwn = FindHeader(aRequest->m_head.m_headers, kAttemptHeader) ==
                     aRequest->m_attempt;
  if (content != expected || aRequest->m_isWrong || !isSigned || !isOwn) {
    ++m_wrong;
  } else if (aRequest->m_isStream) {
    ++m_doneStreams;
  } else {
    ++m_doneCalls;
  }
  m_doneMillis.push_back((EventLoop::Now() - m_startedAt).Count());
  --m_running;
  StartNext(aRequest->m_isStream);
}

json PlatformCallers::Report() const
{
  // The longest time during which nothing was served.
  int64_t gap = 0;
  int64_t last = 0;
  for (const int64_t done : m_doneMillis) {
    gap = std::max(gap, done - last);
    last = done;
  }
  json statuses = json::object();
  for (const auto& [status, count] : m_statuses) {
    statuses[std::to_string(status)] = count;
  }
  return { { "streams", m_doneStreams }, { "calls", m_doneCalls },
           { "resumed", m_resumed },     { "unserved", m_unserved },
           { "wrong", m_wrong },         { "statuses", statuses },
           { "longest_gap_ms", gap },    { "refused", m_refusedAttempts } };
}

} // namespace briarglade::standin
