#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <memory>
#include <sstream>
#include <vector>

#include "libraries/decisions/bundle_check.h"
#include "libraries/model/bundle_file.h"
#include "libraries/model/bundle_record.h"
#include "libraries/model/json_document.h"
#include "services/api_client.h"
#include "services/command_output.h"
#include "services/commands.h"
#include "services/operator_name.h"
#include "services/text_file.h"

namespace papayalift {

namespace {

struct BundleOptions {
  std::string file;
  std::string actor = DefaultOperatorName();
  std::string digest;
  std::int64_t version = 0;
  std::int64_t other_version = 0;
  std::int64_t seen = 0;
};

absl::StatusOr<std::string> ReadValidBundle(const std::string& file) {
  absl::StatusOr<std::string> text = ReadTextFile(file);
  if (!text.ok()) {
    return text;
  }
  const absl::StatusOr<Bundle> bundle = ParseBundle(*text, file);
  return bundle.ok() ? text : absl::StatusOr<std::string>(bundle.status());
}

void CheckBundle(CommandContext& context, const BundleOptions& options) {
  const absl::StatusOr<std::string> text = ReadValidBundle(options.file);
  if (!text.ok()) {
    PrintUsageError(context, std::string(text.status().message()));
    return;
  }
  const absl::StatusOr<Bundle> bundle = ParseBundle(*text, options.file);
  const absl::Status valid = CheckBundle(*bundle);
  if (!valid.ok()) {
    PrintUsageError(context, fmt::format("{}: {}", options.file, std::string(valid.message())));
    return;
  }
  fmt::print("{}: ok, digest {}\n", options.file, BundleDigest(*text));
}

std::string BundleRecordLine(const ApiResponse& response) {
  const absl::StatusOr<Json> json = ParseJsonObject(response.body);
  if (!json.ok() || !response.ok()) {
    return "";
  }
  return fmt::format("version {} digest {} {}", json->value("version", std::int64_t{0}),
                     json->value("digest", ""),
                     json->value("signed_off", false) ? "signed off" : "draft");
}

void SubmitBundle(CommandContext& context, const BundleOptions& options) {
  const absl::StatusOr<std::string> text = ReadValidBundle(options.file);
  if (!text.ok()) {
    PrintUsageError(context, std::string(text.status().message()));
    return;
  }
  const Json body{{"operator", options.actor}, {"text", *text}};
  const ApiResponse response = ApiClient(context.node).Post("/v1/bundles", body.dump());
  PrintResponse(context, response, BundleRecordLine(response));
}

void SignOffBundle(CommandContext& context, const BundleOptions& options) {
  const Json body{{"operator", options.actor}, {"digest", options.digest}};
  const ApiResponse response =
      ApiClient(context.node)
          .Post(fmt::format("/v1/bundles/{}/sign-off", options.version), body.dump());
  PrintResponse(context, response, BundleRecordLine(response));
}

void RollBundle(CommandContext& context, const BundleOptions& options) {
  const Json body{{"operator", options.actor}, {"seen", options.seen}};
  const ApiResponse response =
      ApiClient(context.node)
          .Post(fmt::format("/v1/bundles/{}/roll", options.version), body.dump());
  PrintResponse(context, response, fmt::format("version {} is in force", options.version));
}

ApiResponse FetchBundle(const CommandContext& context, std::int64_t version) {
  return ApiClient(context.node).Get(fmt::format("/v1/bundles/{}", version));
}

std::string BundleText(const ApiResponse& response) {
  const absl::StatusOr<Json> json = ParseJsonObject(response.body);
  return json.ok() ? json->value("text", "") : "";
}

void ShowBundle(CommandContext& context, const BundleOptions& options) {
  const ApiResponse response = FetchBundle(context, options.version);
  PrintResponse(context, response, BundleText(response));
}

void ShowHistory(CommandContext& context) {
  const ApiResponse response = ApiClient(context.node).Get("/v1/bundles");
  const absl::StatusOr<Json> json = ParseJsonObject(response.body);
  std::string text;
  if (json.ok() && response.ok()) {
    text = fmt::format("in force: version {}", json->value("current", std::int64_t{0}));
    for (const Json& version : json->value("versions", Json::array())) {
      text += fmt::format(
          "\n{:>5} {} {:<10} by {}{}", version.value("version", std::int64_t{0}),
          version.value("digest", ""), version.value("signed_off", false) ? "signed off" : "draft",
          version.value("submitted_by", ""), version.value("in_force", false) ? ", in force" : "");
    }
  }
  PrintResponse(context, response, text);
}

std::vector<std::string> SplitLines(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(stream, line)) {
    lines.push_back(line);
  }
  return lines;
}

/// A line-by-line diff, from the longest common subsequence.
std::string LineDiff(const std::vector<std::string>& before,
                     const std::vector<std::string>& after) {
  std::vector<std::vector<int>> common(before.size() + 1, std::vector<int>(after.size() + 1, 0));
  for (std::size_t i = before.size(); i-- > 0;) {
    for (std::size_t j = after.size(); j-- > 0;) {
      common[i][j] = before[i] == after[j] ? common[i + 1][j + 1] + 1
                                           : std::max(common[i + 1][j], common[i][j + 1]);
    }
  }
  std::string diff;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < before.size() || j < after.size()) {
    if (i < before.size() && j < after.size() && before[i] == after[j]) {
      ++i;
      ++j;
    } else if (j == after.size() || (i < before.size() && common[i + 1][j] >= common[i][j + 1])) {
      diff += "- " + before[i++] + "\n";
    } else {
      diff += "+ " + after[j++] + "\n";
    }
  }
  return diff;
}

void DiffBundles(CommandContext& context, const BundleOptions& options) {
  const ApiResponse before = FetchBundle(context, options.version);
  const ApiResponse after = FetchBundle(context, options.other_version);
  if (!before.ok() || !after.ok()) {
    PrintResponse(context, before.ok() ? after : before, "");
    return;
  }
  fmt::print("{}", LineDiff(SplitLines(BundleText(before)), SplitLines(BundleText(after))));
}

CLI::App* AddVersionCommand(CLI::App& parent, const std::string& name, const std::string& help,
                            BundleOptions& options) {
  CLI::App* const command = parent.add_subcommand(name, help);
  command->add_option("version", options.version, "Version")->required();
  return command;
}

void AddFileCommands(CLI::App& parent, CommandContext& context,
                     const std::shared_ptr<BundleOptions>& options) {
  CLI::App* const check = parent.add_subcommand("check", "Check a bundle file without sending it");
  check->add_option("file", options->file, "Bundle, TOML")->required();
  check->callback([&context, options] { CheckBundle(context, *options); });
  CLI::App* const submit = parent.add_subcommand("submit", "Store a bundle file as a new draft");
  submit->add_option("file", options->file, "Bundle, TOML")->required();
  submit->add_option("--operator", options->actor, "Operator who submits it");
  submit->callback([&context, options] { SubmitBundle(context, *options); });
}

void AddSignOffAndRollCommands(CLI::App& parent, CommandContext& context,
                               const std::shared_ptr<BundleOptions>& options) {
  CLI::App* const sign_off =
      AddVersionCommand(parent, "sign-off", "Sign off a draft with exactly this digest", *options);
  sign_off->add_option("--digest", options->digest, "Digest as printed by submit")->required();
  sign_off->add_option("--operator", options->actor, "Operator who signs it off");
  sign_off->callback([&context, options] { SignOffBundle(context, *options); });
  CLI::App* const roll = AddVersionCommand(parent, "roll", "Put a version in force", *options);
  roll->add_option("--seen", options->seen, "Version that you last saw in force; 0 for none")
      ->required();
  roll->add_option("--operator", options->actor, "Operator who rolls it");
  roll->callback([&context, options] { RollBundle(context, *options); });
}

}  // namespace

void AddBundleCommands(CLI::App& app, CommandContext& context) {
  const std::shared_ptr<BundleOptions> options = std::make_shared<BundleOptions>();
  CLI::App* const parent = app.add_subcommand("bundle", "Check, submit, sign off and roll bundles");
  parent->require_subcommand(1);
  AddFileCommands(*parent, context, options);
  AddSignOffAndRollCommands(*parent, context, options);
  CLI::App* const show = AddVersionCommand(*parent, "show", "Print a version", *options);
  show->callback([&context, options] { ShowBundle(context, *options); });
  CLI::App* const history = parent->add_subcommand("history", "List all versions");
  history->callback([&context] { ShowHistory(context); });
  CLI::App* const diff = AddVersionCommand(*parent, "diff", "Compare two versions", *options);
  diff->add_option("other", options->other_version, "The later version")->required();
  diff->callback([&context, options] { DiffBundles(context, *options); });
}

}  // namespace papayalift
