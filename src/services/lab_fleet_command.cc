#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <memory>
#include <sstream>
#include <vector>

#include "libraries/base/try.h"
#include "libraries/fleet_lab/fleet_api.h"
#include "libraries/fleet_lab/fleet_lab.h"
#include "libraries/fleet_lab/report_json.h"
#include "libraries/log/json_log_sink.h"
#include "services/command_output.h"
#include "services/commands.h"
#include "services/text_file.h"

namespace papayalift {

namespace {

struct LabFleetOptions {
  std::vector<std::string> nodes;
  std::string directory = ".fleet";
  std::string faults;
  int seconds = 30;
  int settle_seconds = 60;
  std::uint64_t seed = 1;
};

absl::StatusOr<FleetListing> ReadFleetListing(const LabFleetOptions& options) {
  if (options.nodes.empty()) {
    return FleetListing::FromDirectory(options.directory);
  }
  FleetApi api(std::make_shared<HttpClient>());
  const FleetNode first{NodeId(options.nodes.front()), options.nodes.front()};
  const BundleVersion current = TRY(api.CurrentBundle(first));
  const BundleRecord bundle = TRY(api.ReadBundle(first, current));
  return FleetListing::FromNodes(options.nodes, bundle.text);
}

absl::StatusOr<LabResult> RunWith(const LabFleetOptions& options) {
  FaultFile faults;
  if (!options.faults.empty()) {
    faults = TRY(ParseFaultFile(TRY(ReadTextFile(options.faults)), options.faults));
  }
  const FleetListing fleet = TRY(ReadFleetListing(options));
  LabOptions lab;
  lab.duration = std::chrono::seconds(options.seconds);
  lab.settle = std::chrono::seconds(options.settle_seconds);
  lab.seed = options.seed;
  return RunFleetLab(fleet, faults, lab);
}

void RunLabFleet(CommandContext& context, const LabFleetOptions& options) {
  InstallJsonLogSink(LogLevel::kError);
  const absl::StatusOr<LabResult> result = RunWith(options);
  if (!result.ok()) {
    PrintUsageError(context, std::string(result.status().message()));
    return;
  }
  fmt::print("{}\n", context.format == OutputFormat::kJson ? LabResultJson(*result)
                                                           : LabResultText(*result));
  if (result->broken() > 0 || !result->step_failures.empty()) {
    context.exit_code = ExitCode::kFailed;
  }
}

}  // namespace

void AddLabFleetCommand(CLI::App& lab, CommandContext& context) {
  constexpr int kMaxSeconds = 3'600;
  const std::shared_ptr<LabFleetOptions> options = std::make_shared<LabFleetOptions>();
  CLI::App* const fleet =
      lab.add_subcommand("fleet", "Load a running fleet, inject faults, check the promises");
  fleet->add_option("--directory", options->directory, "Directory written by meta/fleet up")
      ->capture_default_str();
  fleet->add_option("--nodes", options->nodes, "IP:port of entry nodes, instead of a directory")
      ->delimiter(',');
  fleet->add_option("--faults", options->faults, "Fault file, TOML; default: no faults");
  fleet->add_option("--seconds", options->seconds, "Seconds of load and faults")
      ->check(CLI::Range(1, kMaxSeconds))
      ->capture_default_str();
  fleet->add_option("--settle", options->settle_seconds, "Seconds for jobs to end afterwards")
      ->check(CLI::Range(1, kMaxSeconds))
      ->capture_default_str();
  fleet->add_option("--seed", options->seed, "Seed of load and faults")->capture_default_str();
  fleet->callback([&context, options] { RunLabFleet(context, *options); });
}

}  // namespace papayalift
