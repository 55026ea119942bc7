#include "libraries/lab/scenario_file.h"

#include <criterion/criterion.h>

#include <string>

namespace papayalift {

namespace {

/// A valid scenario with the given `length` value, followed by `tail`.
std::string ScenarioText(const std::string& tail, const std::string& length = "\"1h\"") {
  return "name = \"small\"\n[timing]\nlength = " + length + R"(
drain = "1h"
pass_interval = "1m"
start_delay = "300ms"
report_lag = "2s"
checkpoint_interval = "10m"
stop_grace = "2s"
failure_time = "5s"
canary_time = "30s"
urgent_claim_limit = "4.4s"
claim_limit = "1m"
zone_settle = "0s"
[deployment]
zones = 2
workers_per_rack = 8
[[deployment.workers]]
count = 4
accelerators = 4
[[workspace]]
name = "team"
copies = 3
quota = 8
[[class]]
name = "small"
shapes = ["1x2"]
run_time = "4m"
)" + tail;
}

void ExpectProblem(const std::string& text, const std::string& problem) {
  const absl::StatusOr<Scenario> scenario = ParseScenario(text, "lab.toml");
  cr_assert_not(scenario.ok());
  const std::string message(scenario.status().message());
  cr_assert_neq(message.find(problem), std::string::npos, "%s", message.c_str());
}

}  // namespace

Test(scenario_file, parse_valid_text_returns_scenario) {
  const absl::StatusOr<Scenario> scenario = ParseScenario(ScenarioText(""), "lab.toml");
  cr_assert(scenario.ok(), "%s", std::string(scenario.status().message()).c_str());
  cr_assert_eq(scenario->workspaces.size(), 3);
  cr_assert_eq(scenario->workspaces.back().spec.id.text(), "team-3");
  cr_assert_eq(scenario->classes.front().shapes.front().Total().value(), 2);
}

Test(scenario_file, parse_invalid_unit_names_line_and_key) {
  ExpectProblem(ScenarioText("", "\"1 day\""), "lab.toml:3: timing.length: '1 day' is no duration");
}

Test(scenario_file, parse_number_without_unit_names_line_and_key) {
  ExpectProblem(ScenarioText("", "60"), "lab.toml:3: timing.length: must be a duration");
}

Test(scenario_file, parse_unknown_key_names_line_and_key) {
  ExpectProblem(ScenarioText("colour = 3\n"), "lab.toml:29: class.colour: is unknown here");
}

Test(scenario_file, parse_fraction_out_of_range_names_line_and_key) {
  ExpectProblem(ScenarioText("urgent_share = 1.5\n"), "lab.toml:29: class.urgent_share: must be");
}

Test(scenario_file, parse_invalid_shape_names_line_and_key) {
  ExpectProblem(ScenarioText("[[class]]\nname = \"b\"\nrun_time = \"1m\"\nshapes = [\"65x1\"]\n"),
                "lab.toml:32: class.shapes: '65x1' is not a valid shape");
}

Test(scenario_file, parse_unknown_zone_lists_declared_names) {
  ExpectProblem(ScenarioText("[[zone_change]]\nzone = \"nowhere\"\nout = \"1m\"\nback = \"2m\"\n"),
                "zone_change: refers to unknown zone 'nowhere'; declared names: ");
}

Test(scenario_file, parse_several_problems_reports_all) {
  ExpectProblem(ScenarioText("colour = 3\n", "60"), "lab.toml:3: timing.length");
  ExpectProblem(ScenarioText("colour = 3\n", "60"), "lab.toml:29: class.colour");
}

}  // namespace papayalift
