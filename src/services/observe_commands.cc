#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <thread>

#include "libraries/model/json_document.h"
#include "services/api_client.h"
#include "services/command_output.h"
#include "services/commands.h"

namespace papayalift {

namespace {

constexpr std::chrono::seconds kFollowInterval{1};

struct AuditOptions {
  std::string action;
  std::string subject;
  std::int64_t since_ms = 0;
  bool follow = false;
};

std::string StatusText(const ApiResponse& response) {
  const absl::StatusOr<Json> json = ParseJsonObject(response.body);
  if (!json.ok() || !response.ok()) {
    return "";
  }
  std::string text =
      fmt::format("node {}\nlive nodes {}\nbundle version {}\ngangs placed {}",
                  json->value("node", ""), (*json)["live_nodes"].dump(),
                  json->value("bundle_version", std::int64_t{0}), json->value("gangs_placed", 0));
  for (const Json& zone : json->value("zones", Json::array())) {
    text += fmt::format("\nzone {} {}", zone.value("zone", ""), zone.value("state", ""));
  }
  const Json jobs = json->value("jobs", Json::object());
  for (auto state = jobs.begin(); state != jobs.end(); ++state) {
    text += fmt::format("\njobs {} {}", state.key(), state.value().dump());
  }
  return text;
}

std::string AuditEntryLine(const Json& entry) {
  return fmt::format("{} {:<10} {:<16} {} {} {}", entry.value("at_ms", std::int64_t{0}),
                     entry.value("node", ""), entry.value("action", ""), entry.value("actor", ""),
                     entry.value("subject", ""), entry.value("reason", ""));
}

std::string AuditPath(const AuditOptions& options, std::int64_t since_ms) {
  std::string action = options.action;
  std::replace(action.begin(), action.end(), ' ', '+');
  return fmt::format("/v1/audit?since_ms={}&action={}&subject={}", since_ms, action,
                     options.subject);
}

/// Prints new entries until the node can't be reached.
void FollowAudit(CommandContext& context, const AuditOptions& options) {
  ApiClient client(context.node);
  std::int64_t since_ms = options.since_ms;
  while (true) {
    const ApiResponse response = client.Get(AuditPath(options, since_ms));
    const absl::StatusOr<Json> json = ParseJsonObject(response.body);
    if (!response.ok() || !json.ok()) {
      PrintResponse(context, response, "");
      return;
    }
    for (const Json& entry : json->value("entries", Json::array())) {
      fmt::print("{}\n",
                 context.format == OutputFormat::kJson ? entry.dump() : AuditEntryLine(entry));
      since_ms = std::max(since_ms, entry.value("at_ms", std::int64_t{0}) + 1);
    }
    std::fflush(stdout);
    std::this_thread::sleep_for(kFollowInterval);
  }
}

void ShowAudit(CommandContext& context, const AuditOptions& options) {
  if (options.follow) {
    FollowAudit(context, options);
    return;
  }
  const ApiResponse response = ApiClient(context.node).Get(AuditPath(options, options.since_ms));
  const absl::StatusOr<Json> json = ParseJsonObject(response.body);
  std::string text;
  if (json.ok()) {
    for (const Json& entry : json->value("entries", Json::array())) {
      text += (text.empty() ? "" : "\n") + AuditEntryLine(entry);
    }
  }
  PrintResponse(context, response, text.empty() ? "no entries" : text);
}

}  // namespace

void AddObserveCommands(CLI::App& app, CommandContext& context) {
  CLI::App* const status = app.add_subcommand("status", "Show the state that an entry node sees");
  status->callback([&context] {
    const ApiResponse response = ApiClient(context.node).Get("/v1/status");
    PrintResponse(context, response, StatusText(response));
  });
  const std::shared_ptr<AuditOptions> options = std::make_shared<AuditOptions>();
  CLI::App* const audit = app.add_subcommand("audit", "Show who changed what, and why");
  audit->add_option("--action", options->action, "Only this action, such as \"zone out\"");
  audit->add_option("--subject", options->subject, "Only records whose key contains this");
  audit->add_option("--since-ms", options->since_ms,
                    "Only entries from this time on, in ms since the Unix epoch");
  audit->add_flag("--follow", options->follow, "Keep printing new entries");
  audit->callback([&context, options] { ShowAudit(context, *options); });
}

}  // namespace papayalift
