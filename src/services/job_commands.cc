#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <memory>

#include "libraries/model/job_codec.h"
#include "libraries/model/job_file.h"
#include "libraries/model/job_names.h"
#include "libraries/model/json_document.h"
#include "services/api_client.h"
#include "services/command_output.h"
#include "services/commands.h"
#include "services/text_file.h"

namespace papayalift {

namespace {

struct JobOptions {
  std::string file;
  std::string id;
  bool wait = false;
  int limit_seconds = 600;
};

std::string JobLine(const JobRecord& job) {
  return fmt::format("{} {:<10} attempt {} {:<12} {}x{} {}: {}", job.id.text(),
                     JobStateText(job.state), job.attempt.value(), VerdictText(job.verdict),
                     job.spec.shape.tasks.value(), job.spec.shape.accelerators_per_task.value(),
                     job.spec.key.text(), job.reason);
}

std::string JobLineOf(const ApiResponse& response) {
  const absl::StatusOr<JobRecord> job = DecodeJob(response.body);
  return job.ok() && response.ok() ? JobLine(*job) : "";
}

/// Waits until the job has ended, with as many requests as needed.
ApiResponse WaitForEnd(const CommandContext& context, const std::string& id, int limit_seconds) {
  const std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(limit_seconds);
  ApiClient client(context.node);
  ApiResponse response;
  while (std::chrono::steady_clock::now() < deadline) {
    response = client.Get(fmt::format("/v1/jobs/{}/wait?limit_ms=10000", id));
    const absl::StatusOr<JobRecord> job = DecodeJob(response.body);
    if (!response.ok() || !job.ok()) {
      return response;
    }
    if (IsFinal(job->state)) {
      if (job->state != JobState::kSucceeded) {
        response.exit_code = ExitCodeOf(job->verdict);
        response.error = JobLine(*job);
      }
      return response;
    }
  }
  response.exit_code = ExitCode::kMayHaveRun;
  response.error = "the job has not ended yet";
  return response;
}

void SubmitJob(CommandContext& context, const JobOptions& options) {
  const absl::StatusOr<std::string> text = ReadTextFile(options.file);
  if (!text.ok()) {
    PrintUsageError(context, std::string(text.status().message()));
    return;
  }
  const absl::StatusOr<JobSpec> spec = ParseJobFile(*text, options.file);
  if (!spec.ok()) {
    PrintUsageError(context, std::string(spec.status().message()));
    return;
  }
  ApiResponse response = ApiClient(context.node).Post("/v1/jobs", EncodeJobSpec(*spec));
  if (response.ok() && options.wait) {
    response =
        WaitForEnd(context, JobIdOf(spec->workspace, spec->key).text(), options.limit_seconds);
  }
  PrintResponse(context, response, JobLineOf(response));
}

void ListJobs(CommandContext& context) {
  const ApiResponse response = ApiClient(context.node).Get("/v1/jobs");
  std::string text;
  const absl::StatusOr<Json> json = ParseJsonObject(response.body);
  if (json.ok() && response.ok()) {
    for (const Json& item : json->value("jobs", Json::array())) {
      const absl::StatusOr<JobRecord> job = DecodeJob(item.dump());
      text += job.ok() ? JobLine(*job) + "\n" : "";
    }
  }
  PrintResponse(context, response, text.empty() ? "no jobs" : text.substr(0, text.size() - 1));
}

void ExplainJob(CommandContext& context, const JobOptions& options) {
  const ApiResponse response =
      ApiClient(context.node).Get(fmt::format("/v1/jobs/{}/explain", options.id));
  const absl::StatusOr<Json> json = ParseJsonObject(response.body);
  std::string text;
  if (json.ok() && response.ok()) {
    text = fmt::format("{} is {}: {}", options.id, json->value("state", ""),
                       json->value("explanation", ""));
  }
  PrintResponse(context, response, text);
}

CLI::App* AddJobIdCommand(CLI::App& parent, const std::string& name, const std::string& help,
                          JobOptions& options) {
  CLI::App* const command = parent.add_subcommand(name, help);
  command->add_option("id", options.id, "Job id as printed by submit")->required();
  return command;
}

}  // namespace

void AddJobCommands(CLI::App& app, CommandContext& context) {
  const std::shared_ptr<JobOptions> options = std::make_shared<JobOptions>();
  CLI::App* const parent = app.add_subcommand("job", "Submit jobs and follow them");
  parent->require_subcommand(1);
  CLI::App* const submit = parent->add_subcommand("submit", "Submit a job file");
  submit->add_option("file", options->file, "Job, TOML")->required();
  submit->add_flag("--wait", options->wait, "Wait until the job has ended");
  submit->add_option("--limit", options->limit_seconds, "Seconds to wait")->capture_default_str();
  submit->callback([&context, options] { SubmitJob(context, *options); });
  CLI::App* const status = AddJobIdCommand(*parent, "status", "Show one job", *options);
  status->callback([&context, options] {
    const ApiResponse response = ApiClient(context.node).Get("/v1/jobs/" + options->id);
    PrintResponse(context, response, JobLineOf(response));
  });
  CLI::App* const wait = AddJobIdCommand(*parent, "wait", "Wait until a job has ended", *options);
  wait->add_option("--limit", options->limit_seconds, "Seconds to wait")->capture_default_str();
  wait->callback([&context, options] {
    const ApiResponse response = WaitForEnd(context, options->id, options->limit_seconds);
    PrintResponse(context, response, JobLineOf(response));
  });
  CLI::App* const cancel = AddJobIdCommand(*parent, "cancel", "Cancel a job", *options);
  cancel->callback([&context, options] {
    const ApiResponse response =
        ApiClient(context.node).Post(fmt::format("/v1/jobs/{}/cancel", options->id), "{}");
    PrintResponse(context, response, JobLineOf(response));
  });
  CLI::App* const list = parent->add_subcommand("list", "List all jobs");
  list->callback([&context] { ListJobs(context); });
  CLI::App* const explain = AddJobIdCommand(
      *parent, "explain", "Explain why a job waits, runs where it does, or was stopped", *options);
  explain->callback([&context, options] { ExplainJob(context, *options); });
}

}  // namespace papayalift
