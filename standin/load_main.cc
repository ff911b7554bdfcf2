// The load tool: sends requests to nodes, checks every answer's content against
// its request, and prints the counts as one JSON line.

#include <algorithm>
#include <cstdio>
#include <deque>
#include <docopt/docopt.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_call.h"
#include "briarglade/net/http_client.h"
#include "briarglade/routing/sse_parser.h"
#include "standin/completion_text.h"

namespace briarglade::standin {
namespace {

using nlohmann::json;

constexpr char kUsage[] = R"(briarglade-load: sends requests and checks answers.

Usage:
  briarglade-load chat <address>... [--key K] [--model M] [--requests N]
      [--concurrency N] [--duration-ms N] [--tokens N] [--prompt-prefix P]
      [--ramp-ms N]
      [--class C] [--deadline-ms N] [--retry-not-run N]
  briarglade-load book <address>... [--key K] [--service S] [--operation O]
      [--requests N] [--concurrency N] [--repeat N] [--key-prefix P]
  briarglade-load --help

Options:
  --key K            Bearer key [default: demo-key].
  --model M          Model [default: assistant].
  --service S        Plain service [default: booking-desk].
  --operation O      Operation [default: book].
  --requests N       Requests in all; 0: until the duration ends [default: 100].
  --concurrency N    Requests at once [default: 10].
  --duration-ms N    Stop starting requests after so long; 0: never [default: 0].
  --ramp-ms N        Spread the first requests over so long [default: 0].
  --tokens N         Tokens of each answer [default: 20].
  --prompt-prefix P  Beginning of every prompt [default: prompt].
  --class C          Class of the requests.
  --deadline-ms N    Time allowed for each; 0: the server's [default: 0].
  --retry-not-run N  Times to repeat a request that did not run [default: 0].
  --repeat N         Times each key is sent [default: 2].
  --key-prefix P     Beginning of every Idempotency-Key [default: key].
)";

// What the answers came to.
struct Tally
{
  uint64_t m_done = 0;
  uint64_t m_notRun = 0;
  uint64_t m_unknown = 0;
  // Answers that ended without their end marker and without an error event.
  uint64_t m_cut = 0;
  // Answers with content that isn't the request's.
  uint64_t m_crossed = 0;
  uint64_t m_tokens = 0;
  std::map<std::string, uint64_t> m_codes;
  // Idempotency-Keys of which every answer so far was "not run".
  std::set<std::string> m_notRunKeys;
  std::set<std::string> m_otherKeys;
  std::vector<double> m_firstTokenMs;
  std::vector<double> m_betweenTokensMs;
};

double Quantile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto index =
    static_cast<size_t>(static_cast<double>(aValues.size() - 1) * aShare);
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<ptrdiff_t>(index),
                   aValues.end());
  return aValues[index];
}

// One request of the load.
class LoadRequest
{
public:
  std::string m_prompt;
  std::string m_idempotencyKey;
  uint32_t m_attemptsLeft = 0;
  HttpAnswerHead m_head;
  std::string m_body;
  std::string m_content;
  SseParser m_parser;
  bool m_errorEvent = false;
  bool m_ended = false;
  int64_t m_startMicros = 0;
  int64_t m_lastTokenMicros = 0;
};

// Returns the joined token contents of whole events.
std::string ContentOf(std::string_view aEvents, bool& aErrorEvent)
{
  constexpr std::string_view kContent = "\"content\":\"";
  if (aEvents.find("event: error") != std::string_view::npos) {
    aErrorEvent = true;
    return {};
  }
  std::string content;
  size_t at = aEvents.find(kContent);
  while (at != std::string_view::npos) {
    const size_t begin = at + kContent.size();
    const size_t end = aEvents.find('"', begin);
    content.append(aEvents.substr(begin, end - begin));
    at = aEvents.find(kContent, end);
  }
  return content;
}

class LoadRun
{
public:
  LoadRun(EventLoop& aLoop, std::map<std::string, docopt::value> aArguments)
    : m_loop(aLoop)
    , m_arguments(std::move(aArguments))
    , m_client(aLoop, HttpClientLimits())
  {
    for (const std::string& text : m_arguments.at("<address>").asStringList()) {
      const size_t colon = text.rfind(':');
      m_addresses.push_back(
        Endpoint{ text.substr(0, colon),
                  static_cast<uint16_t>(
                    std::strtoul(text.c_str() + colon + 1, nullptr, 10)) });
    }
    m_isChat = m_arguments.at("chat").asBool();
    m_tokens = static_cast<uint32_t>(Number("--tokens"));
  }

  void Begin()
  {
    m_startedAt = EventLoop::Now();
    const long concurrency = Number("--concurrency");
    for (long i = 0; i < concurrency; ++i) {
      ++m_unstarted;
      m_rampTimers.push_back(m_loop.MakeTimer([this] {
        --m_unstarted;
        StartNext();
      }));
      m_rampTimers.back()->Start(Millis(Number("--ramp-ms") * i / concurrency));
    }
  }

  json Report()
  {
    const double seconds =
      static_cast<double>((EventLoop::Now() - m_startedAt).Count()) / 1000.0;
    return {
      { "done", m_tally.m_done },
      { "not_run", m_tally.m_notRun },
      { "unknown", m_tally.m_unknown },
      { "cut", m_tally.m_cut },
      { "crossed", m_tally.m_crossed },
      { "codes", m_tally.m_codes },
      { "not_run_keys", m_tally.m_notRunKeys },
      { "seconds", seconds },
      { "requests_per_second", static_cast<double>(m_tally.m_done) / seconds },
      { "tokens_per_second", static_cast<double>(m_tally.m_tokens) / seconds },
      { "first_token_ms_p50", Quantile(m_tally.m_firstTokenMs, 0.5) },
      { "first_token_ms_p95", Quantile(m_tally.m_firstTokenMs, 0.95) },
      { "first_token_ms_p99", Quantile(m_tally.m_firstTokenMs, 0.99) },
      { "between_tokens_ms_p50", Quantile(m_tally.m_betweenTokensMs, 0.5) },
      { "between_tokens_ms_p95", Quantile(m_tally.m_betweenTokensMs, 0.95) }
    };
  }

  // Whether every answer was whole and its request's own.
  bool IsClean() const { return m_tally.m_cut == 0 && m_tally.m_crossed == 0; }

private:
  long Number(const std::string& aFlag) const
  {
    return m_arguments.at(aFlag).asLong();
  }
  std::string Text(const std::string& aFlag) const
  {
    const docopt::value& value = m_arguments.at(aFlag);
    return value.isString() ? value.asString() : std::string();
  }

  void StartNext()
  {
    const long total =
      Number("--requests") * (m_isChat ? 1 : Number("--repeat"));
    const Millis duration = Millis(Number("--duration-ms"));
    const bool countEnded =
      Number("--requests") > 0 && static_cast<long>(m_started) >= total;
    const bool timeEnded =
      duration > Millis() && EventLoop::Now() - m_startedAt >= duration;
    if (countEnded || timeEnded) {
      if (m_running == 0 && m_unstarted == 0) {
        m_loop.Stop();
      }
      return;
    }
    auto request = std::make_shared<LoadRequest>();
    const uint64_t number = m_started++;
    request->m_attemptsLeft = static_cast<uint32_t>(Number("--retry-not-run"));
    if (m_isChat) {
      request->m_prompt =
        Text("--prompt-prefix") + " " + std::to_string(number);
    } else {
      const auto keys = static_cast<uint64_t>(Number("--requests"));
      request->m_idempotencyKey =
        Text("--key-prefix") + "-" + std::to_string(number % keys);
    }
    ++m_running;
    Send(request);
  }

  void Send(const std::shared_ptr<LoadRequest>& aRequest)
  {
    aRequest->m_head = HttpAnswerHead();
    aRequest->m_body.clear();
    aRequest->m_content.clear();
    aRequest->m_parser = SseParser();
    aRequest->m_errorEvent = false;
    aRequest->m_ended = false;
    aRequest->m_lastTokenMicros = 0;
    aRequest->m_startMicros = EventLoop::NowMicros();
    HttpCallSpec spec;
    spec.m_endpoint = m_addresses[m_nextAddress++ % m_addresses.size()];
    spec.m_timeout = Millis(120'000);
    spec.m_headers = { { "Authorization", "Bearer " + Text("--key") },
                       { "Content-Type", "application/json" },
                       { kAttemptIdHeader, "load" } };
    if (m_isChat) {
      spec.m_path = "/v1/chat/completions";
      spec.m_body = json{
        { "model", Text("--model") },
        { "stream", true },
        { "max_tokens", m_tokens },
        { "messages",
          { { { "role", "user" }, { "content", aRequest->m_prompt } } } }
      }.dump();
      if (!Text("--class").empty()) {
        spec.m_headers.push_back({ kClassHeader, Text("--class") });
      }
      if (Number("--deadline-ms") > 0) {
        spec.m_headers.push_back({ kDeadlineHeader, Text("--deadline-ms") });
      }
    } else {
      spec.m_path =
        "/services/" + Text("--service") + "/" + Text("--operation");
      spec.m_body = json{ { "for", aRequest->m_idempotencyKey } }.dump();
      spec.m_headers.push_back(
        { kIdempotencyKeyHeader, aRequest->m_idempotencyKey });
    }
    spec.m_onHead = [aRequest](const HttpAnswerHead& aHead) {
      aRequest->m_head = aHead;
    };
    spec.m_onData = [this, aRequest](std::string_view aData) {
      OnData(*aRequest, aData);
    };
    spec.m_onEnd = [this, aRequest](const HttpCallEnd& aEnd) {
      OnEnd(aRequest, aEnd);
    };
    m_client.Start(std::move(spec));
  }

  void OnData(LoadRequest& aRequest, std::string_view aData)
  {
    if (!m_isChat || aRequest.m_head.m_status != 200) {
      aRequest.m_body.append(aData);
      return;
    }
    const SseSpan span = aRequest.m_parser.Feed(aData);
    aRequest.m_ended = span.m_ended;
    aRequest.m_content += ContentOf(span.m_events, aRequest.m_errorEvent);
    if (span.m_tokens == 0) {
      return;
    }
    const int64_t now = EventLoop::NowMicros();
    const bool first = aRequest.m_lastTokenMicros == 0;
    const int64_t since =
      now - (first ? aRequest.m_startMicros : aRequest.m_lastTokenMicros);
    (first ? m_tally.m_firstTokenMs : m_tally.m_betweenTokensMs)
      .push_back(static_cast<double>(since) / 1000.0);
    aRequest.m_lastTokenMicros = now;
    m_tally.m_tokens += span.m_tokens;
  }

  void OnEnd(const std::shared_ptr<LoadRequest>& aRequest,
             const HttpCallEnd& aEnd)
  {
    const std::string outcome =
      FindHeader(aRequest->m_head.m_headers, kOutcomeHeader);
    const bool notRun =
      outcome == "not-run" || aEnd.m_end == ExchangeEnd::ConnectRefused;
    if (notRun && aRequest->m_attemptsLeft > 0) {
      --aRequest->m_attemptsLeft;
      Send(aRequest);
      return;
    }
    ++m_tally.m_codes[FindHeader(aRequest->m_head.m_headers, kCodeHeader)];
    NoteKey(aRequest->m_idempotencyKey, notRun);
    if (notRun) {
      ++m_tally.m_notRun;
    } else if (aRequest->m_errorEvent || outcome == "unknown") {
      ++m_tally.m_unknown;
    } else {
      Check(*aRequest, aEnd);
    }
    --m_running;
    StartNext();
  }

  void NoteKey(const std::string& aKey, bool aNotRun)
  {
    if (aKey.empty()) {
      return;
    }
    if (!aNotRun) {
      m_tally.m_otherKeys.insert(aKey);
      m_tally.m_notRunKeys.erase(aKey);
    } else if (m_tally.m_otherKeys.count(aKey) == 0) {
      m_tally.m_notRunKeys.insert(aKey);
    }
  }

  void Check(const LoadRequest& aRequest, const HttpCallEnd& aEnd)
  {
    const bool whole = aEnd.m_end == ExchangeEnd::Whole &&
                       aEnd.m_status == 200 && (!m_isChat || aRequest.m_ended);
    if (!whole) {
      ++m_tally.m_cut;
      return;
    }
    bool own = false;
    if (m_isChat) {
      own = aRequest.m_content == CompletionText(aRequest.m_prompt, m_tokens);
    } else {
      const json answer = json::parse(aRequest.m_body, nullptr, false);
      own = answer.is_object() &&
            answer.value("key", "") == aRequest.m_idempotencyKey &&
            answer.value("run", 0) == 1;
    }
    if (own) {
      ++m_tally.m_done;
    } else {
      ++m_tally.m_crossed;
    }
  }

  EventLoop& m_loop;
  std::map<std::string, docopt::value> m_arguments;
  HttpClient m_client;
  std::vector<Endpoint> m_addresses;
  Tally m_tally;
  bool m_isChat = true;
  uint32_t m_tokens = 0;
  uint64_t m_started = 0;
  uint64_t m_running = 0;
  long m_unstarted = 0;
  std::vector<std::unique_ptr<Timer>> m_rampTimers;
  size_t m_nextAddress = 0;
  Millis m_startedAt;
};

} // namespace
} // namespace briarglade::standin

int main(int aCount, char** aValues)
{
  using briarglade::standin::LoadRun;
  const std::vector<std::string> words(aValues + 1, aValues + aCount);
  briarglade::EventLoop loop;
  LoadRun run(loop,
              docopt::docopt(briarglade::standin::kUsage, words, true, ""));
  run.Begin();
  loop.Run();
  std::puts(run.Report().dump().c_str());
  return run.IsClean() ? 0 : 1;
}
