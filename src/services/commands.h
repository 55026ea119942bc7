/// The subcommands of `papayalift`; each function adds its own to the command line.
#pragma once

#include "services/command_context.h"

namespace CLI {
class App;
}

namespace papayalift {

void AddServeCommand(CLI::App& app, CommandContext& context);
void AddEdgeCommand(CLI::App& app, CommandContext& context);
void AddPlatformCommands(CLI::App& app, CommandContext& context);
void AddDemoCommand(CLI::App& app, CommandContext& context);
void AddBundleCommands(CLI::App& app, CommandContext& context);
void AddConfigCommands(CLI::App& app, CommandContext& context);
void AddZoneCommands(CLI::App& app, CommandContext& context);
void AddJobCommands(CLI::App& app, CommandContext& context);
void AddCallCommand(CLI::App& app, CommandContext& context);
void AddObserveCommands(CLI::App& app, CommandContext& context);
void AddLabCommands(CLI::App& app, CommandContext& context);
void AddLabFleetCommand(CLI::App& lab, CommandContext& context);
/// `parent` is the `lab` subcommand.
void AddLabRunCommands(CLI::App& parent, CommandContext& context);
void AddLabSoakCommand(CLI::App& lab, CommandContext& context);
void AddStandInCommands(CLI::App& app, CommandContext& context);

}  // namespace papayalift
