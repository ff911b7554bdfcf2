// Runs stand-ins for the outside systems, for the demo and the failure scripts.
// Prints one JSON line with the ports, then serves until it is ended.

#include <csignal>
#include <cstdio>
#include <docopt/docopt.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "briarglade/net/http_server.h"
#include "standin/engine.h"
#include "standin/host_list.h"
#include "standin/plain_service.h"
#include "standin/platform_role.h"
#include "standin/standin_role.h"
#include "standin/table_service.h"

namespace briarglade::standin {
namespace {

using nlohmann::json;

constexpr char kUsage[] =
  R"(briarglade-standin: stand-ins for the systems around briarglade.

Usage:
  briarglade-standin table [--port N]
  briarglade-standin hosts [--port N] [--lag-ms N]
  briarglade-standin engines <host>... [--checks-fencing] [--step-ms N]
      [--prefill-ms N] [--cold-limit N] [--cold-ms N] [--warm-limit N]
      [--load-lag-ms N] [--model-load-ms N] [--restart-ms N]
  briarglade-standin services <host>... [--run-ms N]
  briarglade-standin platform [--doors N] [--domains N] [--hosts N]
      [--services N] [--step-ms N] [--run-ms N] [--model-load-ms N]
      [--large N] [--small N] [--heartbeat-ms N] [--stall-ms N]
      [--report-lag-ms N]
  briarglade-standin --help

A <host> is NAME or NAME:PORT. Ports that aren't given are chosen by the kernel.

Options:
  --port N           Port to listen on [default: 0].
  --lag-ms N         Age of the host list [default: 1000].
  --checks-fencing   Refuse orders with an old fencing token.
  --step-ms N        Time between two tokens [default: 10].
  --prefill-ms N     Time to the first token [default: 20].
  --cold-limit N     Requests a cold engine bears [default: 4].
  --cold-ms N        Time for which an engine is cold [default: 5000].
  --warm-limit N     Requests that run at once [default: 256].
  --load-lag-ms N    Age of the published load [default: 500].
  --model-load-ms N  Time to load a model [default: 500].
  --restart-ms N     Time down after a crash [default: 1000].
  --run-ms N         Time of one run of an operation [default: 5].
  --doors N          Listeners of the store, one for each node [default: 3].
  --domains N        Domains of model servers [default: 2].
  --hosts N          Model servers of a domain [default: 7].
  --services N       Servers of the plain service [default: 2].
  --large N          Servers of a group of the large model [default: 3].
  --small N          Servers of a group of the small model [default: 2].
  --heartbeat-ms N   Time between two writes of a server's entry [default: 300].
  --report-lag-ms N  Time until a server's change is in the store [default: 50].
  --stall-ms N       A group that stands still breaks after it [default: 3000].

Administration, on the port printed as "admin":
  POST /admin/fault  {"host": NAME, ...faults of the stand-in...}
  POST /admin/save, /admin/restore  the table's rows, as from a backup
  GET  /admin/stats  counters
  of the platform:
  POST /admin/store  {"door": NAME, ...faults of the store...}
  POST /admin/server {"host": NAME, ...faults of the server, "crash", "drain", "unlist"...}
  POST /admin/row    {"key": KEY, "value": JSON}  an operators' row
  POST /admin/forget-history
)";

struct NamedPort
{
  std::string m_name;
  uint16_t m_port = 0;
};

NamedPort ParseHost(const std::string& aText)
{
  const size_t colon = aText.find(':');
  if (colon == std::string::npos) {
    return NamedPort{ aText, 0 };
  }
  return NamedPort{ aText.substr(0, colon),
                    static_cast<uint16_t>(
                      std::strtoul(aText.c_str() + colon + 1, nullptr, 10)) };
}

Role MakeTable(EventLoop& aLoop, const Arguments& aArguments)
{
  auto table = std::make_shared<TableServiceStandin>(
    aLoop, static_cast<uint16_t>(Number(aArguments, "--port")));
  Role role;
  role.m_ports["table"] = table->Port();
  role.m_administer = [table](const std::string& aPath, const json& aCall) {
    if (aPath == "/admin/fault") {
      TableServiceFaults faults;
      faults.m_down = aCall.value("down", false);
      faults.m_delay = Millis(aCall.value("delay_ms", int64_t{ 0 }));
      faults.m_loseWriteAnswers = aCall.value("lose_write_answers", 0U);
      table->SetFaults(faults);
    } else if (aPath == "/admin/save") {
      table->Save();
    } else if (aPath == "/admin/restore") {
      table->Restore();
    }
    return json{ { "reads", table->ReadCount() },
                 { "writes", table->WriteCount() } };
  };
  return role;
}

Role MakeHosts(EventLoop& aLoop, const Arguments& aArguments)
{
  auto hosts = std::make_shared<HostListStandin>(
    aLoop,
    static_cast<uint16_t>(Number(aArguments, "--port")),
    Time(aArguments, "--lag-ms"));
  Role role;
  role.m_ports["hosts"] = hosts->Port();
  role.m_administer = [hosts](const std::string& aPath, const json& aCall) {
    if (aPath == "/admin/fault") {
      hosts->SetList(aCall.dump());
    }
    return json{ { "ok", true } };
  };
  return role;
}

EngineFaults ReadEngineFaults(const json& aCall)
{
  EngineFaults faults;
  faults.m_cutAfterTokens = aCall.value("cut_after_tokens", 0U);
  faults.m_wrongAttempt = aCall.value("wrong_attempt", false);
  faults.m_refuse = aCall.value("refuse", false);
  faults.m_ignoreOrders = aCall.value("ignore_orders", false);
  return faults;
}

json EngineStats(const std::vector<std::shared_ptr<Engine>>& aEngines)
{
  json stats = json::object();
  for (const auto& engine : aEngines) {
    stats[engine->Host()] = { { "crashes", engine->CrashCount() },
                              { "cancelled", engine->CancelledCount() },
                              { "served", engine->ServedCount() },
                              { "last_request_at", engine->LastRequestAt() } };
  }
  return stats;
}

EngineOptions ReadEngineOptions(const Arguments& aArguments)
{
  EngineOptions options;
  options.m_checksFencing = aArguments.at("--checks-fencing").asBool();
  options.m_stepTime = Time(aArguments, "--step-ms");
  options.m_prefillTime = Time(aArguments, "--prefill-ms");
  options.m_coldLimit = Number(aArguments, "--cold-limit");
  options.m_coldTime = Time(aArguments, "--cold-ms");
  options.m_warmLimit = Number(aArguments, "--warm-limit");
  options.m_loadLag = Time(aArguments, "--load-lag-ms");
  options.m_modelLoadTime = Time(aArguments, "--model-load-ms");
  options.m_restartTime = Time(aArguments, "--restart-ms");
  return options;
}

Role MakeEngines(EventLoop& aLoop, const Arguments& aArguments)
{
  std::vector<std::shared_ptr<Engine>> engines;
  Role role;
  EngineOptions options = ReadEngineOptions(aArguments);
  for (const std::string& text : aArguments.at("<host>").asStringList()) {
    const NamedPort host = ParseHost(text);
    options.m_host = host.m_name;
    options.m_port = host.m_port;
    engines.push_back(std::make_shared<Engine>(aLoop, options));
    role.m_ports[host.m_name] = engines.back()->Port();
  }
  role.m_administer = [engines](const std::string& aPath, const json& aCall) {
    const std::string host = aCall.value("host", "");
    for (const auto& engine : engines) {
      const bool meant = host.empty() || engine->Host() == host;
      if (aPath != "/admin/fault" || !meant) {
        continue;
      }
      engine->SetFaults(ReadEngineFaults(aCall));
      if (aCall.value("crash", false)) {
        engine->Crash(Millis(aCall.value("down_ms", int64_t{ 0 })));
      }
    }
    return EngineStats(engines);
  };
  return role;
}

Role MakeServices(EventLoop& aLoop, const Arguments& aArguments)
{
  std::vector<std::shared_ptr<PlainService>> services;
  Role role;
  PlainServiceOptions options;
  options.m_runTime = Time(aArguments, "--run-ms");
  for (const std::string& text : aArguments.at("<host>").asStringList()) {
    const NamedPort host = ParseHost(text);
    options.m_host = host.m_name;
    options.m_port = host.m_port;
    services.push_back(std::make_shared<PlainService>(aLoop, options));
    role.m_ports[host.m_name] = services.back()->Port();
  }
  role.m_administer = [services](const std::string& aPath, const json& aCall) {
    const std::string host = aCall.value("host", "");
    std::map<std::string, uint32_t> runs;
    for (const auto& service : services) {
      const bool meant = host.empty() || service->Host() == host;
      if (aPath == "/admin/fault" && meant) {
        PlainServiceFaults faults;
        faults.m_cutAfterRun = aCall.value("cut_after_run", false);
        faults.m_refuse = aCall.value("refuse", false);
        faults.m_delay = Millis(aCall.value("delay_ms", int64_t{ 0 }));
        service->SetFaults(faults);
      }
      for (const auto& [key, count] : service->Runs()) {
        runs[key] += count;
      }
    }
    return json{ { "runs", runs } };
  };
  return role;
}

Role MakeRole(EventLoop& aLoop, const Arguments& aArguments)
{
  if (aArguments.at("table").asBool()) {
    return MakeTable(aLoop, aArguments);
  }
  if (aArguments.at("hosts").asBool()) {
    return MakeHosts(aLoop, aArguments);
  }
  if (aArguments.at("engines").asBool()) {
    return MakeEngines(aLoop, aArguments);
  }
  if (aArguments.at("platform").asBool()) {
    return MakePlatform(aLoop, aArguments);
  }
  return MakeServices(aLoop, aArguments);
}

int Run(const Arguments& aArguments)
{
  EventLoop loop;
  Role role = MakeRole(loop, aArguments);
  HttpServer admin(loop, HttpServerLimits());
  admin.SetHandler([&role](const std::shared_ptr<HttpExchange>& aExchange) {
    json call = json::parse(aExchange->Body(), nullptr, false);
    if (!call.is_object()) {
      call = json::object();
    }
    const json answer = role.m_administer(aExchange->Path(), call);
    aExchange->Respond(
      200, { { "Content-Type", "application/json" } }, answer.dump());
  });
  const uint16_t adminPort = admin.Listen(Endpoint{ "127.0.0.1", 0 });
  const json line = { { "ports", role.m_ports }, { "admin", adminPort } };
  std::puts(line.dump().c_str());
  std::fflush(stdout);
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

} // namespace
} // namespace briarglade::standin

int main(int aCount, char** aValues)
{
  const std::vector<std::string> words(aValues + 1, aValues + aCount);
  return briarglade::standin::Run(
    docopt::docopt(briarglade::standin::kUsage, words, true, ""));
}
