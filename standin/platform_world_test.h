// A whole entry node on the stand-in of the users' platform, in one loop, for
// the tests of this folder: a store and a node; tests add servers.
//
// Example:
//   NodeWorld world(configuration);
//   world.AddServer("desk-1", "desk", port);
//   const std::string answer = world.Exchange(bytes);

#pragma once

#include <cstdint>
#include <doctest/doctest.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "briarglade/entry/entry_node.h"
#include "briarglade/net/event_loop.h"
#include "platform/binding.h"
#include "platform/wire_names.h"
#include "standin/platform_store.h"
#include "standin/raw_client.h"

namespace briarglade::standin {

class NodeWorld
{
public:
  explicit NodeWorld(const nlohmann::json& aConfiguration)
  {
    Configure(aConfiguration.dump());
    EntrySettings settings;
    settings.m_node = NodeId("node-1");
    settings.m_zone = ZoneId("zone-a");
    for (Endpoint* address : { &settings.m_callerAddress,
                               &settings.m_readinessAddress,
                               &settings.m_directoryAddress,
                               &settings.m_peerAddress,
                               &settings.m_metricsAddress }) {
      *address = Endpoint{ "127.0.0.1", 0 };
    }
    settings.m_store = Endpoint{ "127.0.0.1", m_store.OpenDoor("one") };
    m_node = std::make_unique<EntryNode>(
      m_loop,
      m_client,
      settings,
      platform::MakeBinding(m_client, settings.m_store));
    REQUIRE_FALSE(m_node->Start());
  }

  // Enters a server of a plain service at a port of this machine.
  void AddServer(const std::string& aId,
                 const std::string& aService,
                 uint16_t aPort)
  {
    const nlohmann::json entry = {
      { "service", aService },
      { "address", Endpoint{ "127.0.0.1", aPort }.ToString() },
      { "zone", "zone-a" },
      { "version", "v1" },
      { "slots", 8 },
      { "state", "ready" },
      { "cold_remaining_ms", 0 },
      { "born", 1'700'000'000'000 },
      { "sequence", 0 }
    };
    m_store.Put(platform::kServersTable, aId, entry.dump());
  }

  void Configure(const std::string& aText)
  {
    m_store.Put(platform::kOperatorTable, platform::kConfigKey, aText);
  }

  // Sends bytes and returns what came back by the close.
  std::string Exchange(const std::string& aBytes)
  {
    RawClient client(m_loop, m_node->CallerPort());
    client.OnEnd([this] { m_loop.Stop(); });
    client.Send(aBytes);
    m_loop.Run();
    return client.Received();
  }

  // Sends the bytes again and again until the answer has the status: the node
  // learns of its platform while the loop runs.
  void WaitFor(const std::string& aBytes, const std::string& aStatus)
  {
    while (Exchange(aBytes).find(" " + aStatus + " ") == std::string::npos) {
      Pause();
    }
  }

  // Lets the loop run for a moment.
  void Pause()
  {
    const auto timer = m_loop.MakeTimer([this] { m_loop.Stop(); });
    timer->Start(Millis(20));
    m_loop.Run();
  }

  EventLoop& Loop() { return m_loop; }
  uint16_t CallerPort() const { return m_node->CallerPort(); }
  PlatformStore& Store() { return m_store; }

private:
  EventLoop m_loop;
  PlatformStore m_store{ m_loop, PlatformStoreOptions() };
  HttpClient m_client{ m_loop, HttpClientLimits() };
  std::unique_ptr<EntryNode> m_node;
};

} // namespace briarglade::standin
