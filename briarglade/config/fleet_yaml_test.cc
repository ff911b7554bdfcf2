// Tests of the fleet file reader: one row for each fault, with its exact line.

#include "briarglade/config/fleet_yaml.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

#include "briarglade/config/fleet_json.h"

namespace briarglade {
namespace {

const std::string kHashA(64, 'a');
const std::string kHashB(64, 'b');

const std::string kBase = "cluster: westsign\n"                 // 1
                          "region: wa-south\n"                  // 2
                          "weight_store_rate: 20GB/s\n"         // 3
                          "zones: [perth-a, albany-c]\n"        // 4
                          "hosts:\n"                            // 5
                          "  perth-[01-04]:\n"                  // 6
                          "    zone: perth-a\n"                 // 7
                          "    domain: perth-1\n"               // 8
                          "    address: 10.0.0.[1-4]:70\n"      // 9
                          "  albany-[01-03]:\n"                 // 10
                          "    zone: albany-c\n"                // 11
                          "    domain: albany-1\n"              // 12
                          "    address: 10.0.1.1:[71-73]\n"     // 13
                          "    checks_fencing: true\n"          // 14
                          "models:\n"                           // 15
                          "  drafting:\n"                       // 16
                          "    members: 2\n"                    // 17
                          "    min_groups: 1\n"                 // 18
                          "    wanted_groups: 3\n"              // 19
                          "    request_limit: 8\n"              // 20
                          "    cold_limit: 2\n"                 // 21
                          "    warm_up: 500ms\n"                // 22
                          "    request_timeout: 2min\n"         // 23
                          "    weight_size: 2TB\n"              // 24
                          "    priority: -1\n"                  // 25
                          "services:\n"                         // 26
                          "  order-desk:\n"                     // 27
                          "    hosts: [albany-03]\n"            // 28
                          "    operations:\n"                   // 29
                          "      book: { idempotent: false }\n" // 30
                          "accounts:\n"                         // 31
                          "  councils:\n"                       // 32
                          "    share: 60%\n"                    // 33
                          "    keys: [" +
                          kHashA +
                          "]\n"                      // 34
                          "    models: [drafting]\n" // 35
                          "  crews:\n"               // 36
                          "    share: 40%\n"         // 37
                          "    keys: [" +
                          kHashB +
                          "]\n"                            // 38
                          "    services: [order-desk]\n"   // 39
                          "    classes:\n"                 // 40
                          "      urgent: { weight: 3 }\n"; // 41

std::string Replace(std::string aText,
                    const std::string& aOld,
                    const std::string& aNew)
{
  const size_t at = aText.find(aOld);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aOld.size(), aNew);
}

std::string ErrorsOf(const FleetLoad& aLoad)
{
  std::string text;
  for (const FleetError& error : aLoad.m_errors) {
    text += error.ToString() + "\n";
  }
  return text;
}

std::string Overlay(const std::string& aPath, const std::string& aValue)
{
  return "set:\n  - path: " + aPath + "\n    value: " + aValue +
         "\n    reason: on loan until March\n";
}

TEST_CASE("a base file gives the configuration that it describes")
{
  const FleetLoad load = LoadFleet({ "base", kBase }, {});
  REQUIRE(ErrorsOf(load) == "");
  const FleetConfig& fleet = load.m_config;
  CHECK(fleet.m_weightStoreRate == 20);
  REQUIRE(fleet.m_hosts.size() == 7);
  CHECK(fleet.m_hosts.at(HostId("perth-04")).m_endpoint.ToString() ==
        "10.0.0.4:70");
  CHECK(fleet.m_hosts.at(HostId("albany-02")).m_endpoint.m_port == 72);
  CHECK(fleet.m_hosts.at(HostId("albany-02")).m_checksFencing);
  const ModelConfig& model = fleet.m_models.at(ModelId("drafting"));
  CHECK(model.m_warmUp == Millis(500));
  CHECK(model.m_requestTimeout == Millis(120'000));
  CHECK(model.m_weightGigabytes == 2'000);
  CHECK(model.m_priority == -1);
  const AccountConfig& account = fleet.m_accounts.at(AccountId("crews"));
  CHECK(account.m_share == 40);
  CHECK(account.m_classes.front().m_weight == 3);
}

struct FaultRow
{
  // What to replace in the base, and with what.
  std::string m_old;
  std::string m_new;
  // The whole list of errors.
  std::string m_errors;
};

TEST_CASE("each fault of a base file is named with line, key and what is "
          "allowed")
{
  const FaultRow kRows[] = {
    // Reading.
    { "members: 2",
      "member: 2",
      "base:17: models.drafting.member: unknown key; allowed: members, "
      "min_groups, wanted_groups, request_limit, cold_limit, warm_up, "
      "request_timeout, weight_size, priority\n"
      "base:17: models.drafting.members: is missing; allowed: a whole number "
      "from 1 to 512\n" },
    { "members: 2",
      "members: two",
      "base:17: models.drafting.members: two is not allowed; allowed: a whole "
      "number from 1 to 512\n" },
    { "members: 2",
      "members: 0",
      "base:17: models.drafting.members: 0 is not allowed; allowed: a whole "
      "number from 1 to 512\n" },
    { "warm_up: 500ms",
      "warm_up: 500",
      "base:22: models.drafting.warm_up: 500 is not allowed; allowed: a time "
      "with its unit, from 1ms to 24h, such as 500ms, 60s or 5min\n" },
    { "warm_up: 500ms",
      "warm_up: 25h",
      "base:22: models.drafting.warm_up: 25h is not allowed; allowed: a time "
      "with its unit, from 1ms to 24h, such as 500ms, 60s or 5min\n" },
    { "weight_size: 2TB",
      "weight_size: 2s",
      "base:24: models.drafting.weight_size: 2s is not allowed; allowed: a "
      "size with its unit, such as 40GB or 2TB\n" },
    { "rate: 20GB/s",
      "rate: 20GB",
      "base:3: weight_store_rate: 20GB is not allowed; allowed: a rate with "
      "its unit, such as 10GB/s\n" },
    { "priority: -1",
      "priority: high",
      "base:25: models.drafting.priority: high is not allowed; allowed: a "
      "whole number from -1000000000 to 1000000000\n" },
    { "idempotent: false",
      "idempotent: no",
      "base:30: services.order-desk.operations.book.idempotent: no is not "
      "allowed; allowed: true or false\n" },
    { "priority: -1",
      "members: 3",
      "base:25: models.drafting.members: duplicate key; allowed: each key "
      "once\n" },
    { "region: wa-south\n",
      "\n",
      "base:1: region: is missing; allowed: a name of letters, digits, '-' and "
      "'_'\n" },
    { "share: 40%",
      "priority: 1",
      "base:37: accounts.crews.priority: unknown key; allowed: share, keys, "
      "models, services, classes\n"
      "base:37: accounts.crews.share: is missing; allowed: a percentage such "
      "as 25%, or a weight such as 3\n" },
    { kHashA,
      "abc",
      "base:34: accounts.councils.keys: abc is not allowed; allowed: the "
      "SHA-256 of a bearer key, 64 digits of lower-case hex\n" },
    { "models: [drafting]",
      "models: drafting",
      "base:35: accounts.councils.models: drafting is not allowed; allowed: a "
      "list, each item a name of letters, digits, '-' and '_'\n" },
    { "10.0.1.1:[71-73]",
      "10.0.1.1:[71-72]",
      "base:13: hosts.albany-[01-03].address: 10.0.1.1:[71-72] does not give "
      "one address for each host; allowed: a range of 3, such as "
      "10.20.1.[11-18]:7000\n" },
    { "10.0.0.[1-4]:70",
      "host.[1-4]:70",
      "base:9: hosts.perth-01.address: host.1:70 is not allowed; allowed: "
      "IP:PORT with an IPv4 number, such as 10.20.1.11:7000\n"
      "base:9: hosts.perth-02.address: host.2:70 is not allowed; allowed: "
      "IP:PORT with an IPv4 number, such as 10.20.1.11:7000\n"
      "base:9: hosts.perth-03.address: host.3:70 is not allowed; allowed: "
      "IP:PORT with an IPv4 number, such as 10.20.1.11:7000\n"
      "base:9: hosts.perth-04.address: host.4:70 is not allowed; allowed: "
      "IP:PORT with an IPv4 number, such as 10.20.1.11:7000\n" },
    { "perth-[01-04]",
      "perth-[04-01]",
      "base:6: hosts.perth-[04-01]: is no range; allowed: a name of letters, "
      "digits, '-' and '_', or a range such as perth-a-1-[01-08]\n" },
    { "perth-[01-04]",
      "albany-[01-04]",
      "base:10: hosts.albany-01: duplicate key; allowed: each host once\n" },
    { "zones: [perth-a",
      "zones: [perth-a, perth-a",
      "base:4: zones: perth-a is listed twice; allowed: each zone once\n" },
    { "cluster: westsign",
      "cluster: [",
      "base:3: is not YAML: end of sequence flow not found\n" },
    { kBase, "[]", "base:1: is not a fleet file; allowed: one YAML map\n" },
    { kBase,
      kBase + "---\na: 1\n",
      "base:1: is not a fleet file; allowed: one YAML map\n" },
    // The fleet as a whole.
    { "members: 2",
      "members: 5",
      "base:17: models.drafting.members: 5 exceeds every fabric domain; "
      "allowed: at most 4, the largest domain's model hosts\n" },
    { "wanted_groups: 3",
      "wanted_groups: 4",
      "base:19: models.drafting.wanted_groups: 4 groups do not fit the fabric "
      "domains; allowed: at most 3\n" },
    { "services:\n  order",
      "  big:\n    members: 4\n    min_groups: 1\n    wanted_groups: 1\n"
      "services:\n  order",
      "base:15: models: all wanted groups together need 10 hosts; allowed: at "
      "most 6, the hosts of no service\n" },
    { "min_groups: 1",
      "min_groups: 4",
      "base:18: models.drafting.min_groups: 4 is above wanted_groups; allowed: "
      "at most 3\n" },
    { "cold_limit: 2",
      "cold_limit: 9",
      "base:21: models.drafting.cold_limit: 9 is above request_limit; allowed: "
      "at most 8\n" },
    { "share: 40%",
      "share: 30%",
      "base:31: accounts: the shares add up to 90%; allowed: percentages that "
      "add up to 100%\n" },
    { "share: 40%",
      "share: 40",
      "base:37: accounts.crews.share: is a weight among percentages; allowed: "
      "a percentage such as 25%, as the other accounts have\n" },
    { "zones: [perth-a",
      "zones: [bunbury-b, perth-a",
      "base:4: zones: bunbury-b has no host; allowed: zones with hosts\n" },
    { "zone: albany-c",
      "zone: alban",
      "base:4: zones: albany-c has no host; allowed: zones with hosts\n"
      "base:11: hosts.albany-01.zone: alban is no zone of the region; allowed: "
      "albany-c, perth-a\n" },
    { "domain: albany-1",
      "domain: perth-1",
      "base:8: hosts.perth-01.domain: perth-1 spans the zones albany-c and "
      "perth-a; allowed: a fabric domain lies in one zone\n" },
    { "10.0.1.1:[71-73]",
      "10.0.0.[2-4]:70",
      "base:9: hosts.perth-02.address: 10.0.0.2:70 is the address of albany-01 "
      "too; allowed: one host an address\n"
      "base:9: hosts.perth-03.address: 10.0.0.3:70 is the address of albany-02 "
      "too; allowed: one host an address\n"
      "base:9: hosts.perth-04.address: 10.0.0.4:70 is the address of albany-03 "
      "too; allowed: one host an address\n" },
    { kHashB,
      kHashA,
      "base:38: accounts.crews.keys: " + kHashA +
        " is a key of councils already; allowed: each key once\n" },
    { "[" + kHashB + "]",
      "[]",
      "base:38: accounts.crews.keys: the account has no key; allowed: one key "
      "or more\n" },
    { "hosts: [albany-03]",
      "hosts: []",
      "base:28: services.order-desk.hosts: the service has no host; allowed: "
      "one host or more\n" },
    { "hosts: [albany-03]",
      "hosts: [albany-03, albany-04]",
      "base:28: services.order-desk.hosts: albany-04 is no host; allowed: "
      "names under hosts\n" },
    { "hosts: [albany-03]",
      "hosts: [albany-03, 'albany-[03-03]']",
      "base:28: services.order-desk.hosts: albany-03 runs order-desk already; "
      "allowed: one service a host\n" },
    { "models: [drafting]",
      "models: [assistant]",
      "base:35: accounts.councils.models: assistant is unknown; allowed: "
      "drafting\n" },
    { "services: [order-desk]",
      "services: [desk]",
      "base:39: accounts.crews.services: desk is unknown; allowed: "
      "order-desk\n" },
    { "    models: [drafting]\n",
      "",
      "base:32: accounts.councils: the account may call nothing; allowed: "
      "models, services or both\n" },
  };
  for (const FaultRow& row : kRows) {
    const std::string text = Replace(kBase, row.m_old, row.m_new);
    CHECK(ErrorsOf(LoadFleet({ "base", text }, {})) == row.m_errors);
  }
}

TEST_CASE("one run reports every fault, in the order of files and lines")
{
  const std::string text = Replace(
    Replace(kBase, "members: 2", "members: x"), "share: 60%", "share: ");
  const std::string errors = ErrorsOf(
    LoadFleet({ "base", text }, { { "site", Overlay("models.other", "1") } }));
  CHECK(errors ==
        "base:17: models.drafting.members: x is not allowed; allowed: a whole "
        "number from 1 to 512\n"
        "base:33: accounts.councils.share: (nothing) is not allowed; allowed: "
        "a percentage such as 25%, or a weight such as 3\n"
        "site:2: models.other: is not in the base; allowed: a key that the "
        "base has, or a setting that it leaves at its default\n");
}

TEST_CASE("an overlay sets values and each deviation gives its reason")
{
  const FleetLoad load = LoadFleet(
    { "base", kBase },
    { { "one", Overlay("models.drafting.wanted_groups", "2") },
      { "two", Overlay("hosts.perth-[02-03].checks_fencing", "true") },
      { "three",
        Overlay("services.order-desk.hosts", "['albany-[02-03]']") } });
  REQUIRE(ErrorsOf(load) == "");
  const FleetConfig& fleet = load.m_config;
  CHECK(fleet.m_models.at(ModelId("drafting")).m_wantedGroups == 2);
  CHECK_FALSE(fleet.m_hosts.at(HostId("perth-01")).m_checksFencing);
  CHECK(fleet.m_hosts.at(HostId("perth-02")).m_checksFencing);
  CHECK(fleet.m_hosts.at(HostId("perth-03")).m_checksFencing);
  CHECK(fleet.m_services.at(ServiceId("order-desk")).m_hosts.size() == 2);
  REQUIRE(load.m_deviations.size() == 3);
  const Deviation& first = load.m_deviations[0];
  CHECK(first.m_file == "one");
  CHECK(first.m_line == 2);
  CHECK(first.m_key == "models.drafting.wanted_groups");
  CHECK(first.m_baseValue == "3");
  CHECK(first.m_siteValue == "2");
  CHECK(first.m_reason == "on loan until March");
  CHECK(load.m_deviations[1].m_baseValue == "");
  CHECK(load.m_deviations[2].m_siteValue == "[albany-[02-03]]");
}

struct OverlayRow
{
  std::string m_overlay;
  std::string m_errors;
};

TEST_CASE("each fault of an overlay is named")
{
  const std::string kPath = "models.drafting.priority";
  const std::string kLacks = ": is not in the base; allowed: a key that the "
                             "base has, or a setting that it leaves at its "
                             "default\n";
  const OverlayRow kRows[] = {
    { "set:\n  - path: " + kPath + "\n    value: 2\n",
      "site:2: set.reason: is missing; allowed: why the site differs, in 8 "
      "letters or more\n" },
    { "set:\n  - path: " + kPath + "\n    value: 2\n    reason: because\n",
      "site:4: set.reason: because is not allowed; allowed: why the site "
      "differs, in 8 letters or more\n" },
    { "set:\n  - value: 2\n    reason: on loan until March\n",
      "site:2: set.path: is missing; allowed: the path of a key in the base, "
      "such as models.drafting.wanted_groups\n" },
    { "set:\n  - path: " + kPath + "\n    reason: on loan until March\n",
      "site:2: set.value: is missing; allowed: what the key is set to\n" },
    { Overlay(kPath, "2") + "    why: x\n",
      "site:5: set.why: unknown key; allowed: path, value, reason\n" },
    { "put: []\n",
      "site:1: put: unknown key; allowed: set\n"
      "site:1: set: is missing; allowed: a list, each item with path, value "
      "and reason\n" },
    { Overlay("hosts.perth-05.zone", "x"),
      "site:2: hosts.perth-05.zone" + kLacks },
    { Overlay("hosts.perth-05", "{}"), "site:2: hosts.perth-05" + kLacks },
    { Overlay("colour", "red"), "site:2: colour" + kLacks },
    { Overlay("services.order-desk.operations.pay", "{ idempotent: true }"),
      "site:2: services.order-desk.operations.pay" + kLacks },
    { Overlay("models.drafting.colour", "red"),
      "site:2: models.drafting.colour: unknown key; allowed: members, "
      "min_groups, wanted_groups, request_limit, cold_limit, warm_up, "
      "request_timeout, weight_size, priority\n" },
    { Overlay("models.drafting.cold_limit", "9"),
      "site:2: models.drafting.cold_limit: 9 is above request_limit; allowed: "
      "at most 8\n" },
    { Overlay(kPath, "2") + Overlay(kPath, "3").substr(5),
      "site:5: models.drafting.priority: is set already at site:2; allowed: "
      "one entry for each path\n" },
  };
  for (const OverlayRow& row : kRows) {
    CHECK(ErrorsOf(LoadFleet({ "base", kBase },
                             { { "site", row.m_overlay } })) == row.m_errors);
  }
}

} // namespace
} // namespace briarglade
