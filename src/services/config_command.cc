#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <iterator>
#include <limits>
#include <memory>

#include "libraries/work/manifest_check.h"
#include "platform/manifest_reader.h"
#include "services/command_output.h"
#include "services/commands.h"
#include "services/config_report.h"
#include "services/text_file.h"

namespace papayalift {

namespace {

struct ConfigOptions {
  std::string file;
  /// Empty if there is no version to compare with.
  std::string file_in_force;
  /// Negative if the capacity is not stated.
  int accelerators = -1;
};

/// kInvalidArgument with the first rejection if the manifest in force can't be one.
absl::StatusOr<FleetManifest> ReadManifestInForce(const std::string& file) {
  const absl::StatusOr<std::string> text = ReadTextFile(file);
  if (!text.ok()) {
    return text.status();
  }
  platform::ManifestReading reading = platform::ReadManifest(*text);
  if (!reading.rejections.empty()) {
    const ConfigFinding& first = reading.rejections.front();
    return absl::InvalidArgumentError(fmt::format("{}: {}: {}", file, first.entry, first.message));
  }
  return std::move(reading.manifest);
}

void Append(std::vector<ConfigFinding> more, std::vector<ConfigFinding>& findings) {
  findings.insert(findings.end(), std::make_move_iterator(more.begin()),
                  std::make_move_iterator(more.end()));
}

/// A rejected manifest is neither checked further nor compared: the entries that were left out
/// would give findings that are not true of the file.
ConfigReport CheckReading(platform::ManifestReading reading, const ConfigOptions& options,
                          const std::optional<FleetManifest>& in_force) {
  ConfigReport report;
  report.file = options.file;
  const bool is_rejected = !reading.rejections.empty();
  Append(std::move(reading.rejections), report.findings);
  Append(std::move(reading.adjustments), report.findings);
  if (is_rejected) {
    return report;
  }
  report.version = reading.manifest.version;
  ManifestCheckContext context;
  context.listed_services = std::move(reading.listed_services);
  if (options.accelerators >= 0) {
    context.capacity = AcceleratorCount(options.accelerators);
  }
  if (in_force.has_value()) {
    context.version_in_force = in_force->version;
    report.differences = DiffManifests(*in_force, reading.manifest);
  }
  Append(FindManifestFaults(reading.manifest, context), report.findings);
  return report;
}

void PrintReport(CommandContext& context, const ConfigReport& report) {
  if (context.format == OutputFormat::kJson) {
    context.exit_code = report.has_errors() ? ExitCode::kUsage : ExitCode::kOk;
    fmt::print("{}\n", ConfigReportJson(report));
  } else if (report.has_errors()) {
    PrintUsageError(context, ConfigReportText(report));
  } else {
    fmt::print("{}\n", ConfigReportText(report));
  }
}

void CheckConfig(CommandContext& context, const ConfigOptions& options) {
  const absl::StatusOr<std::string> text = ReadTextFile(options.file);
  if (!text.ok()) {
    PrintUsageError(context, std::string(text.status().message()));
    return;
  }
  std::optional<FleetManifest> in_force;
  if (!options.file_in_force.empty()) {
    absl::StatusOr<FleetManifest> read = ReadManifestInForce(options.file_in_force);
    if (!read.ok()) {
      PrintUsageError(context, std::string(read.status().message()));
      return;
    }
    in_force = *std::move(read);
  }
  PrintReport(context, CheckReading(platform::ReadManifest(*text), options, in_force));
}

}  // namespace

void AddConfigCommands(CLI::App& app, CommandContext& context) {
  const std::shared_ptr<ConfigOptions> options = std::make_shared<ConfigOptions>();
  CLI::App* const parent =
      app.add_subcommand("config", "Check configurations of the users' platform");
  parent->require_subcommand(1);
  CLI::App* const check = parent->add_subcommand(
      "check",
      "Check a manifest of queues, services and workspaces; changes nothing, calls nobody");
  check->add_option("file", options->file, "Manifest, JSON as the platform stores it")->required();
  check->add_option("--against", options->file_in_force,
                    "The manifest in force: show what differs from it");
  check
      ->add_option("--accelerators", options->accelerators,
                   "Accelerators of the fleet, which all guarantees together must not exceed")
      ->check(CLI::Range(0, std::numeric_limits<int>::max()));
  check->callback([&context, options] { CheckConfig(context, *options); });
}

}  // namespace papayalift
