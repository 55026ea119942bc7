#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <memory>

#include "libraries/base/joining_thread.h"
#include "libraries/base/stop_signal.h"
#include "libraries/log/json_log_sink.h"
#include "libraries/node/entry_node.h"
#include "libraries/settings/node_settings.h"
#include "services/command_output.h"
#include "services/commands.h"
#include "services/process_signals.h"
#include "services/text_file.h"

namespace papayalift {

namespace {

constexpr Milliseconds kSignalWaitLimit{24 * 3'600'000};
constexpr Milliseconds kPollInterval{200};

struct ServeOptions {
  std::string config;
  bool check = false;
  std::string log_level = "info";
};

LogLevel LogLevelFromText(const std::string& text) {
  if (text == "debug") {
    return LogLevel::kDebug;
  }
  if (text == "warning") {
    return LogLevel::kWarning;
  }
  return text == "error" ? LogLevel::kError : LogLevel::kInfo;
}

/// Stops the node gracefully; a second signal makes it abandon the remaining work.
StopOutcome StopGracefully(EntryNode& node) {
  StopSignal stopped;
  JoiningThread second_signal_watcher;
  second_signal_watcher.Start([&node, &stopped] {
    while (!stopped.raised()) {
      if (ProcessSignals::WaitForTerminations(2, kPollInterval)) {
        LogEvent(LogLevel::kWarning, "serve", "second signal: abandoning the remaining work")
            .Write();
        node.ForceStop();
        return;
      }
    }
  });
  const StopOutcome outcome = node.Stop();
  stopped.Raise();
  second_signal_watcher.Join();
  return outcome;
}

void Serve(CommandContext& context, const NodeSettings& settings, LogLevel level) {
  InstallJsonLogSink(level);
  ProcessSignals::Install();
  const absl::StatusOr<std::unique_ptr<EntryNode>> node = EntryNode::Create(settings);
  if (!node.ok()) {
    PrintUsageError(context, std::string(node.status().message()));
    return;
  }
  while (!ProcessSignals::WaitForTerminations(1, kSignalWaitLimit)) {
  }
  if (StopGracefully(**node) == StopOutcome::kForced) {
    context.exit_code = ExitCode::kMayHaveRun;
  }
}

void RunServe(CommandContext& context, const ServeOptions& options) {
  const absl::StatusOr<std::string> text = ReadTextFile(options.config);
  if (!text.ok()) {
    PrintUsageError(context, std::string(text.status().message()));
    return;
  }
  const absl::StatusOr<NodeSettings> settings = ParseNodeSettings(*text, options.config);
  if (!settings.ok()) {
    PrintUsageError(context, std::string(settings.status().message()));
    return;
  }
  if (options.check) {
    fmt::print("{}: ok\n", options.config);
    return;
  }
  Serve(context, *settings, LogLevelFromText(options.log_level));
}

}  // namespace

void AddServeCommand(CLI::App& app, CommandContext& context) {
  const std::shared_ptr<ServeOptions> options = std::make_shared<ServeOptions>();
  CLI::App* const serve = app.add_subcommand("serve", "Run an entry node");
  serve->add_option("--config", options->config, "Settings, TOML")->required();
  serve->add_flag("--check", options->check, "Check the settings and exit");
  serve->add_option("--log-level", options->log_level, "Lowest level that is logged")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
  serve->callback([&context, options] { RunServe(context, *options); });
}

}  // namespace papayalift
