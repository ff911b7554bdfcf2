// The stand-in platform and its administration.

#include "standin/platform_role.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/wire_names.h"
#include "standin/group_audit.h"
#include "standin/platform_server.h"
#include "standin/platform_store.h"

namespace briarglade::standin {

using nlohmann::json;

namespace {

constexpr uint32_t kZones = 3;

std::string ZoneName(uint32_t aNumber)
{
  return std::string("zone-") + static_cast<char>('a' + aNumber % kZones);
}

// All parts of the platform.
class Platform
{
public:
  Platform(EventLoop& aLoop, const Arguments& aArguments)
    : m_store(aLoop, PlatformStoreOptions())
  {
    const uint32_t domains = Number(aArguments, "--domains");
    const uint32_t hosts = Number(aArguments, "--hosts");
    for (uint32_t domain = 0; domain < domains; ++domain) {
      for (uint32_t host = 0; host < hosts; ++host) {
        AddModelServer(aLoop, aArguments, domain, host);
      }
    }
    for (uint32_t i = 0; i < Number(aArguments, "--services"); ++i) {
      PlatformServerOptions options = MakeOptions(aArguments, ZoneName(i));
      options.m_host = "desk-" + std::to_string(i);
      options.m_service = "desk";
      AddServer(aLoop, std::move(options));
    }
  }

  uint16_t OpenDoor(const std::string& aName)
  {
    return m_store.OpenDoor(aName);
  }

  json Administer(const std::string& aPath, const json& aCall)
  {
    if (aPath == "/admin/store") {
      SetStoreFaults(aCall);
    } else if (aPath == "/admin/server") {
      SetServerFaults(aCall);
    } else if (aPath == "/admin/row") {
      WriteRow(aCall);
    } else if (aPath == "/admin/forget-history") {
      m_store.DropHistory();
    }
    return Stats();
  }

private:
  static PlatformServerOptions MakeOptions(const Arguments& aArguments,
                                           std::string aZone)
  {
    PlatformServerOptions options;
    options.m_zone = std::move(aZone);
    options.m_stepTime = Time(aArguments, "--step-ms");
    options.m_runTime = Time(aArguments, "--run-ms");
    options.m_heartbeat = Time(aArguments, "--heartbeat-ms");
    options.m_stallTime = Time(aArguments, "--stall-ms");
    options.m_reportLag = Time(aArguments, "--report-lag-ms");
    return options;
  }

  void AddServer(EventLoop& aLoop, PlatformServerOptions aOptions)
  {
    m_servers.push_back(std::make_unique<PlatformServer>(
      aLoop, m_store, m_audit, std::move(aOptions)));
  }

  void AddModelServer(EventLoop& aLoop,
                      const Arguments& aArguments,
                      uint32_t aDomain,
                      uint32_t aHost)
  {
    const Millis load = Time(aArguments, "--model-load-ms");
    PlatformServerOptions options = MakeOptions(aArguments, ZoneName(aDomain));
    options.m_host =
      "engine-" + std::to_string(aDomain) + "-" + std::to_string(aHost);
    options.m_service = "models";
    PlatformMemberOptions member;
    member.m_domain = "domain-" + std::to_string(aDomain);
    member.m_models = {
      PlatformModel{ "large", Number(aArguments, "--large"), load, load / 10 },
      PlatformModel{ "small", Number(aArguments, "--small"), load, load / 10 }
    };
    options.m_member = std::move(member);
    AddServer(aLoop, std::move(options));
  }

  void SetStoreFaults(const json& aCall)
  {
    PlatformStoreFaults faults;
    faults.m_isDown = aCall.value("down", false);
    faults.m_isBusy = aCall.value("busy", false);
    faults.m_isSilent = aCall.value("silent", false);
    faults.m_delay = Millis(aCall.value("delay_ms", int64_t{ 0 }));
    faults.m_loseWriteAnswers = aCall.value("lose_write_answers", 0U);
    faults.m_writeLag = Millis(aCall.value("write_lag_ms", int64_t{ 0 }));
    m_store.SetFaults(aCall.value("door", ""), faults);
  }

  static PlatformServerCrash CrashOf(const json& aCall)
  {
    PlatformServerCrash crash;
    crash.m_downTime = Millis(aCall.value("down_ms", int64_t{ 1'000 }));
    crash.m_keepsId = aCall.value("keeps_id", false);
    crash.m_nextId = aCall.value("next_id", "");
    if (aCall.contains("lapse_ms")) {
      crash.m_lapse = Millis(aCall.value("lapse_ms", int64_t{ 0 }));
    }
    return crash;
  }

  void SetServerFaults(const json& aCall)
  {
    PlatformServerFaults faults;
    faults.m_fails = aCall.value("fails", false);
    faults.m_cutAfterRun = aCall.value("cut_after_run", false);
    faults.m_cutAfterEvents = aCall.value("cut_after_events", 0U);
    faults.m_pause = Millis(aCall.value("pause_ms", int64_t{ 0 }));
    faults.m_saysLeaving = aCall.value("says_leaving", false);
    faults.m_wrongAttempt = aCall.value("wrong_attempt", false);
    faults.m_delay = Millis(aCall.value("delay_ms", int64_t{ 0 }));
    faults.m_orderLag = Millis(aCall.value("order_lag_ms", int64_t{ 0 }));
    faults.m_keepsEntry = aCall.value("keeps_entry", false);
    faults.m_reportDelay = Millis(aCall.value("report_delay_ms", int64_t{ 0 }));
    for (const auto& server : m_servers) {
      if (server->Host() != aCall.value("host", server->Host())) {
        continue;
      }
      server->SetFaults(faults);
      if (aCall.value("crash", false)) {
        server->Crash(CrashOf(aCall));
      }
      if (aCall.value("drain", false)) {
        server->Drain();
      }
      if (aCall.value("unlist", false)) {
        server->Unlist();
      }
    }
  }

  // Writes an operators' row, or removes it where there is no value.
  void WriteRow(const json& aCall)
  {
    const std::string key = aCall.value("key", "");
    if (aCall.contains("value")) {
      m_store.Put(platform::kOperatorTable, key, aCall["value"].dump());
    } else {
      m_store.Remove(platform::kOperatorTable, key);
    }
  }

  json Stats() const
  {
    json servers = json::object();
    std::map<std::string, uint32_t> runs;
    for (const auto& server : m_servers) {
      servers[server->Host()] = { { "up", server->IsUp() },
                                  { "served", server->ServedCount() },
                                  { "group", server->Group() },
                                  { "leads", server->IsHead() } };
      json late = json::object();
      for (const auto& [attempt, after] : server->LateCalls()) {
        late[attempt] = after.Count();
      }
      servers[server->Host()]["late_calls"] = late;
      for (const auto& [attempt, count] : server->Runs()) {
        runs[attempt] += count;
      }
    }
    return { { "servers", servers },
             { "runs", runs },
             { "violations", m_audit.Violations() },
             { "store_calls", m_store.CallCount() } };
  }

  PlatformStore m_store;
  GroupAudit m_audit;
  std::vector<std::unique_ptr<PlatformServer>> m_servers;
};

} // namespace

Role MakePlatform(EventLoop& aLoop, const Arguments& aArguments)
{
  auto platform = std::make_shared<Platform>(aLoop, aArguments);
  Role role;
  for (uint32_t i = 1; i <= Number(aArguments, "--doors"); ++i) {
    const std::string name = "store-" + std::to_string(i);
    role.m_ports[name] = platform->OpenDoor(name);
  }
  role.m_administer = [platform](const std::string& aPath, const json& aCall) {
    return platform->Administer(aPath, aCall);
  };
  return role;
}

} // namespace briarglade::standin
