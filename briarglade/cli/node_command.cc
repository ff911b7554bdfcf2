// `briarglade node`: reads and checks the settings, then runs the node.

#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarglade/cli/commands.h"
#include "briarglade/cli/options.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/node/node.h"

namespace briarglade {

namespace {

// Collects settings and the first fault of each.
class SettingsReader
{
public:
  explicit SettingsReader(const Options& aOptions)
    : m_options(aOptions)
  {
  }

  std::vector<Endpoint> Addresses(const std::string& aFlag)
  {
    std::vector<Endpoint> addresses;
    for (const std::string& text : m_options.GetList(aFlag)) {
      addresses.push_back(Keep(ParseEndpoint(text)));
    }
    return addresses;
  }
  std::string Required(const std::string& aFlag)
  {
    return Keep(m_options.GetRequired(aFlag));
  }
  Endpoint Address(const std::string& aFlag, const std::string& aFallback)
  {
    return Keep(m_options.GetEndpoint(aFlag, aFallback));
  }
  Millis Time(const std::string& aFlag, Millis aFallback)
  {
    return Keep(m_options.GetMillis(aFlag, aFallback));
  }
  std::string Secret(const std::string& aFileFlag, const std::string& aVariable)
  {
    return Keep(m_options.GetSecret(aFileFlag, aVariable));
  }
  const std::vector<Error>& Errors() const { return m_errors; }

private:
  template<typename T>
  T Keep(Result<T> aResult)
  {
    if (const Error* error = GetError(aResult)) {
      m_errors.push_back(*error);
      return T();
    }
    return std::get<T>(std::move(aResult));
  }

  const Options& m_options;
  std::vector<Error> m_errors;
};

NodeSettings ReadSettings(SettingsReader& aReader, const Options& aOptions)
{
  NodeSettings settings;
  settings.m_id = NodeId(aReader.Required("--id"));
  settings.m_cluster = aReader.Required("--cluster");
  settings.m_region = RegionId(aReader.Required("--region"));
  settings.m_zone = ZoneId(aReader.Required("--zone"));
  settings.m_callerAddress = aReader.Address("--caller-address", "127.0.0.1:0");
  settings.m_operatorAddress =
    aReader.Address("--operator-address", "127.0.0.1:0");
  settings.m_peerAddress = aReader.Address("--peer-address", "127.0.0.1:0");
  settings.m_seeds = aReader.Addresses("--seed");
  settings.m_table = aReader.Address("--table", "");
  settings.m_hostList = aReader.Address("--host-list", "");
  settings.m_clusterKey =
    aReader.Secret("--cluster-key-file", "BRIARGLADE_CLUSTER_KEY");
  settings.m_operatorKey =
    aReader.Secret("--operator-key-file", "BRIARGLADE_OPERATOR_KEY");
  settings.m_logLevel = ParseLogLevel(aOptions.GetText("--log-level", "info"));
  settings.m_addressLifetime =
    aReader.Time("--address-lifetime-ms", settings.m_addressLifetime);
  settings.m_shutdownLimit =
    aReader.Time("--shutdown-limit-ms", settings.m_shutdownLimit);
  return settings;
}

} // namespace

ExitCode RunNode(const Options& aOptions)
{
  SettingsReader reader(aOptions);
  const NodeSettings settings = ReadSettings(reader, aOptions);
  for (const Error& error : reader.Errors()) {
    std::fprintf(stderr, "briarglade: %s\n", error.m_detail.c_str());
  }
  if (!reader.Errors().empty()) {
    return ExitCode::Invalid;
  }
  EventLoop loop;
  Node node(loop, settings);
  const Result<NodePorts> started = node.Start();
  if (const Error* error = GetError(started)) {
    std::fprintf(stderr, "briarglade: %s\n", error->m_detail.c_str());
    return ExitCode::Failed;
  }
  const auto& ports = std::get<NodePorts>(started);
  const nlohmann::json line = { { "ports",
                                  { { "caller", ports.m_caller },
                                    { "operator", ports.m_operator },
                                    { "peer", ports.m_peer } } } };
  std::puts(line.dump().c_str());
  std::fflush(stdout);
  loop.OnSignal(SIGTERM, [&node] { node.BeginShutdown(); });
  loop.OnSignal(SIGINT, [&node] { node.BeginShutdown(); });
  loop.Run();
  return ExitCode::Ok;
}

} // namespace briarglade
