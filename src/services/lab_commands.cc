#include <CLI/CLI.hpp>

#include "services/commands.h"

namespace papayalift {

void AddLabCommands(CLI::App& app, CommandContext& context) {
  CLI::App* const parent = app.add_subcommand("lab", "Load, experiments and measurements");
  parent->require_subcommand(1);
  AddLabFleetCommand(*parent, context);
  AddLabRunCommands(*parent, context);
  AddLabSoakCommand(*parent, context);
}

}  // namespace papayalift
