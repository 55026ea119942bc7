#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <memory>

#include "libraries/model/json_document.h"
#include "services/api_client.h"
#include "services/command_output.h"
#include "services/commands.h"
#include "services/operator_name.h"

namespace papayalift {

namespace {

struct ZoneOptions {
  std::string zone;
  std::string actor = DefaultOperatorName();
  std::string reason;
};

std::string ZoneLines(const ApiResponse& response) {
  const absl::StatusOr<Json> json = ParseJsonObject(response.body);
  if (!json.ok() || !response.ok()) {
    return "";
  }
  std::string text = fmt::format("epoch {}", json->value("epoch", std::int64_t{0}));
  for (const Json& zone : json->value("zones", Json::array())) {
    text += fmt::format("\n{:<24} {}", zone.value("zone", ""), zone.value("state", ""));
  }
  for (const Json& lost : json->value("guarantees_lost", Json::array())) {
    text += fmt::format("\nguarantee lost: {}", lost.get<std::string>());
  }
  return text;
}

void ChangeZone(CommandContext& context, const ZoneOptions& options, const std::string& state) {
  const Json body{{"operator", options.actor}, {"reason", options.reason}, {"state", state}};
  const ApiResponse response =
      ApiClient(context.node).Post("/v1/zones/" + options.zone, body.dump());
  PrintResponse(context, response, ZoneLines(response));
}

void AddZoneChangeCommand(CLI::App& parent, CommandContext& context,
                          const std::shared_ptr<ZoneOptions>& options, const std::string& name,
                          const std::string& help, const std::string& state) {
  CLI::App* const command = parent.add_subcommand(name, help);
  command->add_option("zone", options->zone, "Availability zone")->required();
  command->add_option("--operator", options->actor, "Operator who makes the change");
  command->add_option("--reason", options->reason, "Why, for the audit trail");
  command->callback([&context, options, state] { ChangeZone(context, *options, state); });
}

}  // namespace

void AddZoneCommands(CLI::App& app, CommandContext& context) {
  const std::shared_ptr<ZoneOptions> options = std::make_shared<ZoneOptions>();
  CLI::App* const parent =
      app.add_subcommand("zone", "Take availability zones out and bring them back");
  parent->require_subcommand(1);
  AddZoneChangeCommand(*parent, context, options, "out",
                       "Take a zone out: within 3 s nothing new starts there", "out");
  AddZoneChangeCommand(*parent, context, options, "back", "Bring a zone back", "in");
  CLI::App* const list = parent->add_subcommand("list", "Show which zones are in service");
  list->callback([&context] {
    const ApiResponse response = ApiClient(context.node).Get("/v1/zones");
    PrintResponse(context, response, ZoneLines(response));
  });
}

}  // namespace papayalift
