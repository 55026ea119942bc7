#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <memory>
#include <string>

#include "platform/edge_settings.h"
#include "services/command_output.h"
#include "services/commands.h"
#include "services/edge_process.h"
#include "services/text_file.h"

namespace papayalift {

namespace {

struct EdgeOptions {
  std::string settings;
  bool check = false;
};

void RunEdge(CommandContext& context, const EdgeOptions& options) {
  std::string path = options.settings;
  if (path.empty()) {
    const absl::StatusOr<std::string> named = platform::EdgeSettingsPath();
    if (!named.ok()) {
      PrintUsageError(context, std::string(named.status().message()));
      return;
    }
    path = *named;
  }
  const absl::StatusOr<std::string> text = ReadTextFile(path);
  if (!text.ok()) {
    PrintUsageError(context, std::string(text.status().message()));
    return;
  }
  const absl::StatusOr<platform::EdgeSettings> settings = platform::ParseEdgeSettings(*text, path);
  if (!settings.ok()) {
    PrintUsageError(context, std::string(settings.status().message()));
    return;
  }
  if (options.check) {
    fmt::print("{}: ok\n", path);
    return;
  }
  const absl::Status ended = RunEdgeProcess(*settings, path);
  if (!ended.ok()) {
    PrintUsageError(context, std::string(ended.message()));
  }
}

}  // namespace

void AddEdgeCommand(CLI::App& app, CommandContext& context) {
  const std::shared_ptr<EdgeOptions> options = std::make_shared<EdgeOptions>();
  CLI::App* const edge = app.add_subcommand("edge", "Run a node on the users' platform");
  edge->add_option("--settings", options->settings,
                   "The platform's settings file; default: the path that the platform gives");
  edge->add_flag("--check", options->check, "Check the settings and exit");
  edge->callback([&context, options] { RunEdge(context, *options); });
}

}  // namespace papayalift
