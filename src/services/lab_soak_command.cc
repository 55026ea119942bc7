#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <memory>

#include "libraries/base/boot_clock.h"
#include "libraries/base/try.h"
#include "libraries/log/json_log_sink.h"
#include "libraries/soak/soak_runner.h"
#include "services/command_output.h"
#include "services/commands.h"

namespace papayalift {

namespace {

struct LabSoakOptions {
  SoakOptions soak;
  int seconds = 20;
  int settle_seconds = 60;
  bool untimed = false;
};

absl::StatusOr<SoakResult> RunWith(const LabSoakOptions& options) {
  static const BootClock kClock;
  const std::unique_ptr<EventLoop> loop = TRY(EventLoop::Create(kClock));
  SoakOptions soak = options.soak;
  soak.size.duration = std::chrono::seconds(options.seconds);
  soak.settle = std::chrono::seconds(options.settle_seconds);
  soak.bounds = options.untimed ? SoakBounds::kUntimed : SoakBounds::kTimed;
  return RunSoak(*loop, soak);
}

void RunLabSoak(CommandContext& context, const LabSoakOptions& options) {
  InstallJsonLogSink(LogLevel::kInfo);
  const absl::StatusOr<SoakResult> result = RunWith(options);
  if (!result.ok()) {
    PrintUsageError(context, std::string(result.status().message()));
    return;
  }
  fmt::print(
      "seed {}: {} faults, {} jobs, {} accepted, {} rejected, {} done, {} cancelled; {} requests "
      "answered, {} not; a job stood for {} ms at most; {} promises broken\n",
      options.soak.seed, result->faults, result->jobs, result->accepted, result->rejected,
      result->done, result->cancelled, result->answered, result->unanswered,
      result->longest_standstill.count(), result->broken.size());
  for (const std::string& line : result->broken) {
    fmt::print("BROKEN {}\n", line);
  }
  if (!result->broken.empty()) {
    context.exit_code = ExitCode::kFailed;
  }
}

}  // namespace

void AddLabSoakCommand(CLI::App& lab, CommandContext& context) {
  constexpr int kMaxNodes = 99;
  constexpr int kMaxSeconds = 3'600;
  constexpr int kMinPort = 1'024;
  constexpr int kMaxPort = 65'000;
  const std::shared_ptr<LabSoakOptions> options = std::make_shared<LabSoakOptions>();
  CLI::App* const soak = lab.add_subcommand(
      "soak", "Inject random faults into nodes of the platform that meta/soak has started");
  soak->add_option("--directory", options->soak.directory, "Directory with node-N.pid of each node")
      ->required();
  soak->add_option("--base-port", options->soak.base_port, "Port of the stand-in")
      ->check(CLI::Range(kMinPort, kMaxPort))
      ->required();
  soak->add_option("--seed", options->soak.seed, "Seed of load and faults")->capture_default_str();
  soak->add_option("--nodes", options->soak.size.nodes, "Number of nodes")
      ->check(CLI::Range(1, kMaxNodes))
      ->capture_default_str();
  soak->add_option("--minions", options->soak.size.minions, "Number of minions")
      ->check(CLI::Range(1, kMaxNodes))
      ->capture_default_str();
  soak->add_option("--seconds", options->seconds, "Seconds of fault injection")
      ->check(CLI::Range(1, kMaxSeconds))
      ->capture_default_str();
  soak->add_option("--settle", options->settle_seconds, "Seconds for jobs to end afterwards")
      ->check(CLI::Range(1, kMaxSeconds))
      ->capture_default_str();
  soak->add_flag("--untimed", options->untimed,
                 "Skip the checks that depend on the speed of this machine");
  soak->callback([&context, options] { RunLabSoak(context, *options); });
}

}  // namespace papayalift
