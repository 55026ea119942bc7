#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <memory>
#include <type_traits>

#include "libraries/base/boot_clock.h"
#include "libraries/log/json_log_sink.h"
#include "libraries/settings/ip_address.h"
#include "services/command_output.h"
#include "services/commands.h"
#include "services/process_signals.h"
#include "stand_ins/fleet/fleet_stand_in.h"
#include "stand_ins/minion/minion_stand_in.h"
#include "stand_ins/platform/platform_stand_in.h"
#include "stand_ins/worker/worker_stand_in.h"

namespace papayalift {

namespace {

constexpr Milliseconds kSignalWaitLimit{24 * 3'600'000};

struct StandInOptions {
  std::string address;
  int accelerators = 8;
  int slots = 8;
  int minions = 8;
  MinionPorts minion_ports;
};

/// Runs the stand-in that `create` makes on the options' address until a termination signal.
template <typename Create>
void RunUntilSignal(CommandContext& context, const StandInOptions& options, const Create& create) {
  InstallJsonLogSink(LogLevel::kInfo);
  ProcessSignals::Install();
  const absl::StatusOr<IpAddress> address = ParseIpAddress(options.address);
  if (!address.ok()) {
    PrintUsageError(context, std::string(address.status().message()));
    return;
  }
  const std::invoke_result_t<Create, const IpAddress&> stand_in = create(*address);
  if (!stand_in.ok()) {
    PrintUsageError(context, std::string(stand_in.status().message()));
    return;
  }
  LogEvent(LogLevel::kInfo, "stand_in", "serving").Field("address", options.address).Write();
  while (!ProcessSignals::WaitForTerminations(1, kSignalWaitLimit)) {
  }
}

void RunFleet(CommandContext& context, const StandInOptions& options) {
  InstallJsonLogSink(LogLevel::kWarning);
  ProcessSignals::Install();
  static const BootClock kClock;
  const absl::StatusOr<std::unique_ptr<EventLoop>> loop = EventLoop::Create(kClock);
  const absl::StatusOr<IpAddress> address = ParseIpAddress(options.address);
  if (!loop.ok() || !address.ok()) {
    PrintUsageError(context, std::string((loop.ok() ? address.status() : loop.status()).message()));
    return;
  }
  const absl::StatusOr<std::unique_ptr<FleetStandIn>> fleet =
      FleetStandIn::Create(**loop, address->port, options.minions, options.minion_ports);
  if (!fleet.ok()) {
    PrintUsageError(context, std::string(fleet.status().message()));
    return;
  }
  ProcessSignals::SetWakeDescriptor((*loop)->wake_descriptor());
  (*loop)->SetAfterIteration([event_loop = loop->get()] {
    if (ProcessSignals::terminations() > 0) {
      event_loop->Stop();
    }
  });
  (*loop)->Run();
}

CLI::App* AddStandInCommand(CLI::App& parent, const std::string& name, const std::string& help,
                            StandInOptions& options) {
  CLI::App* const command = parent.add_subcommand(name, help);
  command->add_option("--address", options.address, "IP:port to listen on")->required();
  return command;
}

}  // namespace

void AddStandInCommands(CLI::App& app, CommandContext& context) {
  const std::shared_ptr<StandInOptions> options = std::make_shared<StandInOptions>();
  CLI::App* const parent =
      app.add_subcommand("stand-in", "Run a stand-in for an external system, for manual tests");
  parent->require_subcommand(1);
  CLI::App* const platform =
      AddStandInCommand(*parent, "platform", "The platform's key-value service", *options);
  platform->callback([&context, options] {
    RunUntilSignal(context, *options, [](const IpAddress& address) {
      return PlatformStandIn::Create(address.host, address.port);
    });
  });
  CLI::App* const fleet = AddStandInCommand(
      *parent, "fleet", "The users' platform: its store and some minions", *options);
  fleet->add_option("--minions", options->minions, "Number of minions")
      ->check(CLI::Range(1, 1'000));
  fleet
      ->add_option("--minion-ports", options->minion_ports.first,
                   "First of the ports that minions advertise, such as those of proxies")
      ->check(CLI::Range(0, 65'535));
  fleet->add_flag_callback(
      "--listen-on-minion-ports",
      [options] { options->minion_ports.listeners = MinionListeners::kSeparate; },
      "Let each minion listen on its own port instead of proxies");
  fleet->callback([&context, options] { RunFleet(context, *options); });
  CLI::App* const worker = AddStandInCommand(*parent, "worker", "One worker", *options);
  worker->add_option("--accelerators", options->accelerators, "Number of accelerators")
      ->check(CLI::Range(1, AcceleratorSet::kMaxWorkerAccelerators));
  worker->callback([&context, options] {
    RunUntilSignal(context, *options, [&options](const IpAddress& address) {
      return WorkerStandIn::Create(address.host, address.port,
                                   AcceleratorCount(options->accelerators));
    });
  });
  CLI::App* const minion =
      AddStandInCommand(*parent, "minion", "One minion of a service", *options);
  minion->add_option("--slots", options->slots, "Number of concurrent calls")
      ->check(CLI::Range(1, 1'000));
  minion->callback([&context, options] {
    RunUntilSignal(context, *options, [&options](const IpAddress& address) {
      return MinionStandIn::Create(address.host, address.port, options->slots);
    });
  });
}

}  // namespace papayalift
