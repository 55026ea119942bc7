/// The command line of papayalift.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "services/commands.h"

namespace {

constexpr char kFooter[] =
    "Exit codes: 0 done; 1 refused or failed, and surely not run; 2 wrong command line or file, "
    "nothing was sent; 3 no certain answer, it may have run; 4 it ran, and failed.";

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("papayalift: a scheduler for multi-accelerator jobs under workspace guarantees");
  papayalift::CommandContext context;
  app.require_subcommand(1);
  app.footer(kFooter);
  app.add_option("--node", context.node, "IP:port of an entry node")->envname("PAPAYALIFT_NODE");
  app.add_flag_callback(
      "--json", [&context] { context.format = papayalift::OutputFormat::kJson; }, "Print JSON");
  app.fallthrough();
  papayalift::AddServeCommand(app, context);
  papayalift::AddEdgeCommand(app, context);
  papayalift::AddPlatformCommands(app, context);
  papayalift::AddDemoCommand(app, context);
  papayalift::AddBundleCommands(app, context);
  papayalift::AddConfigCommands(app, context);
  papayalift::AddZoneCommands(app, context);
  papayalift::AddJobCommands(app, context);
  papayalift::AddCallCommand(app, context);
  papayalift::AddObserveCommands(app, context);
  papayalift::AddLabCommands(app, context);
  papayalift::AddStandInCommands(app, context);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : static_cast<int>(papayalift::ExitCode::kUsage);
  } catch (const std::exception& error) {
    // For example, an argument that is not valid UTF-8 can't be encoded as JSON.
    fmt::print(stderr, "{}\n", error.what());
    return static_cast<int>(papayalift::ExitCode::kUsage);
  }
  return static_cast<int>(context.exit_code);
}
