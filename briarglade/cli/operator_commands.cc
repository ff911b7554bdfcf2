// `briarglade apply`, `zone`, `status` and `explain`: calls to a node.

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <nlohmann/json.hpp>

#include "briarglade/cli/commands.h"
#include "briarglade/cli/fleet_files.h"
#include "briarglade/cli/operator_client.h"
#include "briarglade/cli/options.h"
#include "briarglade/config/fleet_json.h"

namespace briarglade {

namespace {

using nlohmann::json;

// Where a command goes and with what key.
struct Target
{
  Endpoint m_node;
  std::string m_key;
};

Result<Target> ReadTarget(const Options& aOptions)
{
  const Result<Endpoint> node = aOptions.GetEndpoint("--node");
  if (const Error* error = GetError(node)) {
    return *error;
  }
  const Result<std::string> key =
    aOptions.GetSecret("--operator-key-file", "BRIARGLADE_OPERATOR_KEY");
  if (const Error* error = GetError(key)) {
    return *error;
  }
  return Target{ std::get<Endpoint>(node), std::get<std::string>(key) };
}

ExitCode ReportError(const Error& aError, ExitCode aCode)
{
  std::fprintf(stderr, "briarglade: %s\n", aError.m_detail.c_str());
  return aCode;
}

ExitCode ExitOf(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::Ok:
      return ExitCode::Ok;
    case ResultCode::ChangeRecorded:
    case ResultCode::TableUnavailable:
      return ExitCode::NotConfirmed;
    case ResultCode::ChangeRaced:
    case ResultCode::ChangeRefused:
      return ExitCode::Refused;
    case ResultCode::MalformedRequest:
    case ResultCode::ConfigInvalid:
      return ExitCode::Invalid;
    default:
      return ExitCode::Failed;
  }
}

Result<json> Call(const Target& aTarget,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody)
{
  const Result<OperatorAnswer> answer =
    CallOperator(aTarget.m_node, aTarget.m_key, aMethod, aPath, aBody);
  if (const Error* error = GetError(answer)) {
    return *error;
  }
  json body =
    json::parse(std::get<OperatorAnswer>(answer).m_body, nullptr, false);
  if (!body.is_object()) {
    return Error{ ResultCode::Internal, "the node's answer is not JSON" };
  }
  return body;
}

// Prints what came of a change and returns its exit code.
ExitCode ReportChange(const Result<json>& aAnswer)
{
  if (const Error* error = GetError(aAnswer)) {
    return ReportError(*error, ExitCode::Failed);
  }
  const json& body = std::get<json>(aAnswer);
  const auto code =
    static_cast<ResultCode>(body.value("code", uint16_t{ 506 }));
  std::printf(
    "%s: version %llu%s%s\n",
    body.value("name", "").c_str(),
    static_cast<unsigned long long>(body.value("version", uint64_t{ 0 })),
    body.value("detail", "").empty() ? "" : ": ",
    body.value("detail", "").c_str());
  for (const json& node : body.value("missing", json::array())) {
    std::printf("missing: %s\n", node.get<std::string>().c_str());
  }
  return ExitOf(code);
}

// Prints one line for each recorded change, the latest first.
void PrintHistory(const json& aStatus)
{
  constexpr uint64_t kMillisPerSecond = 1000;
  for (const json& change : aStatus.value("changes", json::array())) {
    const auto when = static_cast<time_t>(
      change.value("when_unix_ms", uint64_t{ 0 }) / kMillisPerSecond);
    tm parts{};
    gmtime_r(&when, &parts);
    char text[32];
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
    std::printf(
      "%s version %llu %s by %s: %s\n",
      when == 0 ? "-" : text,
      static_cast<unsigned long long>(change.value("version", uint64_t{ 0 })),
      change.value("what", "").c_str(),
      change.value("who", "").c_str(),
      change.value("why", "").c_str());
  }
}

std::string Who(const Options& aOptions)
{
  const char* user = std::getenv("USER");
  return aOptions.GetText("--who", user == nullptr ? "operator" : user);
}

} // namespace

ExitCode RunApply(const Options& aOptions)
{
  const Result<FleetLoad> load = LoadFleetFiles(aOptions);
  if (!ReportFleetErrors(load)) {
    return ExitCode::Invalid;
  }
  const Result<Target> target = ReadTarget(aOptions);
  if (const Error* error = GetError(target)) {
    return ReportError(*error, ExitCode::Invalid);
  }
  const Result<std::string> why = aOptions.GetRequired("--why");
  if (const Error* error = GetError(why)) {
    return ReportError(*error, ExitCode::Invalid);
  }
  const Result<json> status =
    Call(std::get<Target>(target), "GET", "/operator/status", "");
  if (const Error* error = GetError(status)) {
    return ReportError(*error, ExitCode::Failed);
  }
  const json body = {
    { "fleet", FleetToJson(std::get<FleetLoad>(load).m_config) },
    { "base", std::get<json>(status).value("version", uint64_t{ 0 }) },
    { "who", Who(aOptions) },
    { "why", std::get<std::string>(why) }
  };
  return ReportChange(
    Call(std::get<Target>(target), "POST", "/operator/apply", body.dump()));
}

ExitCode RunZone(const Options& aOptions)
{
  const Result<Target> target = ReadTarget(aOptions);
  if (const Error* error = GetError(target)) {
    return ReportError(*error, ExitCode::Invalid);
  }
  const Result<std::string> why = aOptions.GetRequired("--why");
  if (const Error* error = GetError(why)) {
    return ReportError(*error, ExitCode::Invalid);
  }
  const json body = { { "zone", aOptions.GetArgument("<zone>") },
                      { "state", aOptions.Has("out") ? "out" : "in" },
                      { "who", Who(aOptions) },
                      { "why", std::get<std::string>(why) } };
  return ReportChange(
    Call(std::get<Target>(target), "POST", "/operator/zone", body.dump()));
}

ExitCode RunStatus(const Options& aOptions)
{
  const Result<Target> target = ReadTarget(aOptions);
  if (const Error* error = GetError(target)) {
    return ReportError(*error, ExitCode::Invalid);
  }
  const Result<json> status =
    Call(std::get<Target>(target), "GET", "/operator/status", "");
  if (const Error* error = GetError(status)) {
    return ReportError(*error, ExitCode::Failed);
  }
  if (aOptions.Has("--history")) {
    PrintHistory(std::get<json>(status));
  } else {
    std::puts(std::get<json>(status).dump(2).c_str());
  }
  return ExitCode::Ok;
}

ExitCode RunExplain(const Options& aOptions)
{
  const Result<Target> target = ReadTarget(aOptions);
  if (const Error* error = GetError(target)) {
    return ReportError(*error, ExitCode::Invalid);
  }
  const std::string path =
    "/operator/explain?subject=" + aOptions.GetArgument("<subject>");
  const Result<OperatorAnswer> answer =
    CallOperator(std::get<Target>(target).m_node,
                 std::get<Target>(target).m_key,
                 "GET",
                 path,
                 "");
  if (const Error* error = GetError(answer)) {
    return ReportError(*error, ExitCode::Failed);
  }
  std::fputs(std::get<OperatorAnswer>(answer).m_body.c_str(), stdout);
  return ExitCode::Ok;
}

} // namespace briarglade
