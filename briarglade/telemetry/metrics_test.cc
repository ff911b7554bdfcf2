// Tests of gauges with labels.

#include "briarglade/telemetry/metrics.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

// Guards against series of models that are no longer configured, and of a node
// that no longer holds the lease.
TEST_CASE("gauges with a prefix are replaced as a whole")
{
  Metrics metrics;
  metrics.SetGauge("groups", 3);
  metrics.ReplaceGauges(
    "capacity_", { { "moves_begun", 1 }, { "demand_groups{model=\"a\"}", 2 } });
  CHECK(metrics.Render() == "briarglade_capacity_demand_groups{model=\"a\"} 2\n"
                            "briarglade_capacity_moves_begun 1\n"
                            "briarglade_groups 3\n");
  metrics.ReplaceGauges("capacity_", { { "moves_begun", 2 } });
  CHECK(metrics.Render() ==
        "briarglade_capacity_moves_begun 2\nbriarglade_groups 3\n");
}

TEST_CASE("a label's value can't end the label")
{
  CHECK(EscapeLabel("plain-name") == "plain-name");
  CHECK(EscapeLabel("a\"b\\c\nd") == "a\\\"b\\\\c\\nd");
}

} // namespace
} // namespace briarglade
