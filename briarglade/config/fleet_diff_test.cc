// Tests of the comparison of two configurations.

#include "briarglade/config/fleet_diff.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "briarglade/config/fleet_config.h"
#include "briarglade/config/fleet_json.h"

namespace briarglade {
namespace {

using nlohmann::json;

const char kFleet[] = R"({"cluster": "kitakaze", "region": "hokkaido",
  "weight_store_rate": 10, "zones": ["sapporo"],
  "hosts": {"s-01": {"zone": "sapporo", "domain": "s-1", "ip": "10.0.0.1",
                     "port": 70, "checks_fencing": true}},
  "models": {"assistant": {"members": 1, "min_groups": 1, "wanted_groups": 2,
    "request_limit": 8, "cold_limit": 2, "warm_up_ms": 5000,
    "request_timeout_ms": 9000, "weight_gigabytes": 40, "priority": 1}},
  "services": {"booking-desk": {"hosts": ["s-01"], "request_limit": 8,
    "operations": [{"name": "book", "idempotent": false}], "cold_limit": 2,
    "warm_up_ms": 5000, "request_timeout_ms": 9000}},
  "accounts": {"kennels": {"key_hashes": ["ab"], "share": 100,
    "classes": [{"id": "dawn", "weight": 2, "priority": 1}],
    "models": ["assistant"], "services": ["booking-desk"]}}})";

FleetConfig Parse(const json& aFleet)
{
  const Result<FleetConfig> fleet = FleetFromJson(aFleet.dump());
  REQUIRE(GetError(fleet) == nullptr);
  return std::get<FleetConfig>(fleet);
}

std::string ChangesFrom(const json& aBefore, const json& aAfter)
{
  std::string text;
  for (const FleetChange& change : DiffFleets(Parse(aBefore), Parse(aAfter))) {
    text += change.ToString() + "\n";
  }
  return text;
}

struct ChangeRow
{
  // Where to put a value into the fleet, and the value.
  std::string m_pointer;
  json m_value;
  std::string m_changes;
};

TEST_CASE("each change says what it restarts or moves")
{
  const json fleet = json::parse(kFleet);
  const ChangeRow kRows[] = {
    { "/models/assistant/members",
      2,
      "models.assistant.members: 1 -> 2: every group of the model drains and "
      "re-forms\n" },
    { "/models/assistant/wanted_groups",
      3,
      "models.assistant.wanted_groups: 2 -> 3: free hosts load the model; "
      "running groups go on\n" },
    { "/models/assistant/wanted_groups",
      1,
      "models.assistant.wanted_groups: 2 -> 1: groups drain and are "
      "released\n" },
    { "/models/assistant/warm_up_ms",
      6000,
      "models.assistant.warm_up: 5000ms -> 6000ms: restarts nothing\n" },
    { "/hosts/s-01/port",
      71,
      "hosts.s-01.address: 10.0.0.1:70 -> 10.0.0.1:71: the host drains; its "
      "group re-forms\n" },
    { "/hosts",
      json::object(),
      "hosts.s-01: present -> (absent): the host drains; its group "
      "re-forms\n" },
    { "/services/booking-desk/operations/0/idempotent",
      true,
      "services.booking-desk.operations.book.idempotent: false -> true: "
      "restarts nothing\n" },
    { "/services/booking-desk/hosts",
      json::array({ "s-02" }),
      "services.booking-desk.hosts.s-01: present -> (absent): the host drains; "
      "its group re-forms\n"
      "services.booking-desk.hosts.s-02: (absent) -> present: the host takes "
      "up work; running groups go on\n" },
    { "/accounts/kennels/key_hashes",
      json::array({ "ab", "cd" }),
      "accounts.kennels.keys.cd: (absent) -> present: restarts nothing\n" },
    { "/accounts/kennels/models",
      json::array(),
      "accounts.kennels.models.assistant: present -> (absent): callers that "
      "still use it are refused\n" },
    { "/accounts",
      json::object(),
      "accounts.kennels: present -> (absent): callers that still use it are "
      "refused\n" },
    { "/region",
      "honshu",
      "region: hokkaido -> honshu: every node has to be restarted with new "
      "settings\n" },
  };
  for (const ChangeRow& row : kRows) {
    json after = fleet;
    after[json::json_pointer(row.m_pointer)] = row.m_value;
    CHECK(ChangesFrom(fleet, after) == row.m_changes);
  }
  CHECK(ChangesFrom(fleet, fleet) == "");
}

TEST_CASE("no value of the configuration can change unseen")
{
  const json fleet = json::parse(kFleet);
  const json leaves = fleet.flatten();
  REQUIRE(leaves.size() == 32);
  for (const auto& entry : leaves.items()) {
    const std::string& pointer = entry.key();
    const json& leaf = entry.value();
    json changed = fleet;
    json& value = changed[json::json_pointer(pointer)];
    if (leaf.is_boolean()) {
      value = !leaf.get<bool>();
    } else if (leaf.is_number()) {
      value = leaf.get<int>() + 1;
    } else {
      value = leaf.get<std::string>() + "x";
    }
    CAPTURE(pointer);
    CHECK(ChangesFrom(fleet, changed) != "");
  }
}

} // namespace
} // namespace briarglade
