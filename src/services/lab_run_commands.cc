#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <memory>

#include "libraries/base/try.h"
#include "libraries/lab/comparison.h"
#include "libraries/lab/comparison_codec.h"
#include "libraries/lab/comparison_plot.h"
#include "libraries/lab/lab_run.h"
#include "libraries/lab/report_codec.h"
#include "libraries/lab/scenario_file.h"
#include "services/command_output.h"
#include "services/commands.h"
#include "services/text_file.h"

namespace papayalift {

namespace {

struct LabRunOptions {
  std::string file;
  std::string policy = "papaya";
  std::uint64_t seed = 1;
  ComparisonPlan plan{{"fifo", "papaya"}, 20, 1};
};

absl::StatusOr<Scenario> ReadScenario(const std::string& file) {
  const std::string text = TRY(ReadTextFile(file));
  return ParseScenario(text, file);
}

absl::StatusOr<RunReport> RunOnce(const LabRunOptions& options) {
  const Scenario scenario = TRY(ReadScenario(options.file));
  return RunPolicy(scenario, options.policy, options.seed);
}

std::string RunReportText(const RunReport& report) {
  return fmt::format(
      "{} under {}, seed {}: {} of {} jobs done, {} cancelled, {} refused, {} unfinished\n"
      "completion mean {:.0f} s, p95 {:.0f} s; slowdown mean {:.2f}, p95 {:.2f}\n"
      "utilisation {:.3f}, fragmentation for {} {:.3f}\n"
      "accelerator-hours useful {:.0f}, lost {:.1f}, repeated {:.1f}\n"
      "useful in zone changes {:.3f} of what was allowed\n"
      "claims missed: urgent {} of {}, others {} of {}\n"
      "gangs partial {}, split {}; capacity exceeded {}; placed into a zone out {}",
      report.scenario, report.policy, report.seed, report.jobs.done, report.jobs.submitted,
      report.jobs.cancelled, report.jobs.refused, report.jobs.unfinished,
      report.overall.completion.mean, report.overall.completion.p95, report.overall.slowdown.mean,
      report.overall.slowdown.p95, report.utilisation, report.largest_shape, report.fragmentation,
      report.work.useful, report.work.lost, report.work.repeated, report.UsefulShareInZoneChanges(),
      report.urgent_claims.missed, report.urgent_claims.wait.count, report.normal_claims.missed,
      report.normal_claims.wait.count, report.invariants.partial_gangs,
      report.invariants.split_gangs, report.invariants.capacity_exceeded,
      report.invariants.placed_into_zone_out);
}

void PrintRun(CommandContext& context, const LabRunOptions& options) {
  const absl::StatusOr<RunReport> report = RunOnce(options);
  if (!report.ok()) {
    PrintUsageError(context, std::string(report.status().message()));
    return;
  }
  const bool json = context.format == OutputFormat::kJson;
  fmt::print("{}\n", json ? EncodeRunReport(*report) : RunReportText(*report));
}

absl::StatusOr<Comparison> Compare(const LabRunOptions& options) {
  const Scenario scenario = TRY(ReadScenario(options.file));
  return ComparePolicies(scenario, options.plan);
}

void PrintComparison(CommandContext& context, const LabRunOptions& options) {
  const absl::StatusOr<Comparison> comparison = Compare(options);
  if (!comparison.ok()) {
    PrintUsageError(context, std::string(comparison.status().message()));
    return;
  }
  const bool json = context.format == OutputFormat::kJson;
  fmt::print("{}\n", json ? EncodeComparison(*comparison) : ComparisonTable(*comparison));
}

absl::StatusOr<std::string> Plot(const LabRunOptions& options) {
  const std::string text = TRY(ReadTextFile(options.file));
  return PlotComparison(TRY(DecodeComparison(text)));
}

void PrintPlot(CommandContext& context, const LabRunOptions& options) {
  const absl::StatusOr<std::string> svg = Plot(options);
  if (!svg.ok()) {
    PrintUsageError(context, std::string(svg.status().message()));
    return;
  }
  fmt::print("{}", *svg);
}

void AddCompareCommand(CLI::App& parent, CommandContext& context,
                       const std::shared_ptr<LabRunOptions>& options) {
  CLI::App* const compare = parent.add_subcommand(
      "compare", "Simulate a scenario under several policies with the same seeds");
  compare->add_option("scenario", options->file, "Scenario, TOML")->required();
  compare->add_option("--policies", options->plan.policies, "Policies; the first is the baseline")
      ->delimiter(',')
      ->capture_default_str();
  compare->add_option("--seeds", options->plan.seeds, "Number of seeds, from 1 on")
      ->capture_default_str();
  compare->add_option("--threads", options->plan.threads, "Number of concurrent runs")
      ->capture_default_str();
  compare->callback([&context, options] { PrintComparison(context, *options); });
}

}  // namespace

void AddLabRunCommands(CLI::App& parent, CommandContext& context) {
  const std::shared_ptr<LabRunOptions> options = std::make_shared<LabRunOptions>();
  CLI::App* const run = parent.add_subcommand("run", "Simulate a scenario under one policy");
  run->add_option("scenario", options->file, "Scenario, TOML")->required();
  run->add_option("--seed", options->seed, "Seed")->capture_default_str();
  run->add_option("--policy", options->policy, "Policy")->capture_default_str();
  run->callback([&context, options] { PrintRun(context, *options); });
  AddCompareCommand(parent, context, options);
  CLI::App* const plot =
      parent.add_subcommand("plot", "Plot the output of 'compare --json' as SVG");
  plot->add_option("comparison", options->file, "Comparison, JSON")->required();
  plot->callback([&context, options] { PrintPlot(context, *options); });
}

}  // namespace papayalift
