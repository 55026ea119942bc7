#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <functional>
#include <map>
#include <memory>

#include "libraries/base/boot_clock.h"
#include "libraries/http/async_http_client.h"
#include "libraries/job_requests/job_request_handler.h"
#include "libraries/journal/accepted_job_codec.h"
#include "libraries/journal/job_progress_codec.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/leader/term_record.h"
#include "libraries/model/json_document.h"
#include "platform/edge_settings.h"
#include "platform/kv_store_client.h"
#include "platform/platform_schema.h"
#include "services/command_output.h"
#include "services/commands.h"
#include "services/text_file.h"

namespace papayalift {

namespace {

struct PlatformOptions {
  std::string settings;
  std::string job;
};

/// Reads the platform's store for one command; never writes to it.
class StoreReader {
 public:
  explicit StoreReader(const std::string& address)
      : m_loop(EventLoop::Create(m_clock).value()),
        m_http(*m_loop, 2),
        m_store(*m_loop, m_http, m_metrics, address) {}

  ReadAnswer ReadAll(const std::string& prefix) {
    ReadAnswer result;
    m_store.ReadAll(prefix, [this, &result](const ReadAnswer& answer) {
      result = answer;
      m_loop->Stop();
    });
    m_loop->Run();
    return result;
  }

 private:
  BootClock m_clock;
  std::unique_ptr<EventLoop> m_loop;
  Metrics m_metrics;
  AsyncHttpClient m_http;
  platform::KvStoreClient m_store;
};

void PrintReport(const CommandContext& context, const Json& json) {
  if (context.format == OutputFormat::kJson) {
    fmt::print("{}\n", json.dump());
    return;
  }
  for (auto entry = json.begin(); entry != json.end(); ++entry) {
    fmt::print("{}: {}\n", entry.key(),
               entry->is_string() ? entry->get<std::string>() : entry->dump());
  }
}

using ReportFunction = std::function<absl::StatusOr<Json>(StoreReader&, const PlatformOptions&)>;

absl::Status StoreReadError(const ReadAnswer& answer) {
  return absl::UnavailableError("the store can't be read: " + answer.error);
}

absl::StatusOr<Json> TermReport(StoreReader& store, const PlatformOptions& /*options*/) {
  const ReadAnswer answer = store.ReadAll(kTermKey);
  if (answer.result != ReadResult::kOk) {
    return StoreReadError(answer);
  }
  if (answer.items.empty()) {
    return Json{{"leader", "none"}};
  }
  const std::optional<TermRecord> term = DecodeTermRecord(answer.items.front().value);
  if (!term.has_value()) {
    return absl::DataLossError("the term record can't be decoded");
  }
  return Json{{"leader", term->node},
              {"processor_share", term->processor_share},
              {"token", answer.items.front().revision.value()}};
}

absl::StatusOr<Json> ManifestReport(StoreReader& store, const PlatformOptions& /*options*/) {
  const platform::PlatformSchema schema;
  const ReadAnswer answer = store.ReadAll(schema.ManifestKey());
  if (answer.result != ReadResult::kOk) {
    return StoreReadError(answer);
  }
  if (answer.items.empty()) {
    return absl::NotFoundError("there is no manifest");
  }
  const absl::StatusOr<FleetManifest> manifest = schema.DecodeManifest(answer.items.front().value);
  if (!manifest.ok()) {
    return manifest.status();
  }
  Json report{{"version", manifest->version.value()},
              {"revision", answer.items.front().revision.value()}};
  for (const QueueSpec& queue : manifest->queues) {
    report["queue " + queue.id.text()] =
        fmt::format("{}{} priority {} attempts {} service {}", queue.host, queue.path_prefix,
                    queue.priority.value(), queue.max_attempts, queue.service.text());
  }
  for (const ManifestWorkspace& workspace : manifest->workspaces) {
    report["workspace " + workspace.id.text()] = fmt::format(
        "{} keys, {} accelerators guaranteed", workspace.keys.size(), workspace.guaranteed.value());
  }
  return report;
}

absl::StatusOr<Json> StatusReport(StoreReader& store, const PlatformOptions& options) {
  absl::StatusOr<Json> report = TermReport(store, options);
  if (!report.ok()) {
    return report;
  }
  const platform::PlatformSchema schema;
  const ReadAnswer progress = store.ReadAll(kProgressPrefix);
  const ReadAnswer minions = store.ReadAll(schema.MinionPrefix());
  const ReadAnswer operators = store.ReadAll(schema.OperatorPrefix());
  for (const ReadAnswer* const answer : {&progress, &minions, &operators}) {
    if (answer->result != ReadResult::kOk) {
      return StoreReadError(*answer);
    }
  }
  std::map<std::string, int> states;
  for (const StoreItem& item : progress.items) {
    const absl::StatusOr<WorkState> state = DecodeWorkState(item.value);
    ++states[state.ok() ? WorkStateText(*state) : "unreadable"];
  }
  for (const auto& [state, count] : states) {
    (*report)["jobs " + state] = count;
  }
  (*report)["minions"] = minions.items.size();
  for (const StoreItem& item : operators.items) {
    if (const std::optional<ZoneId> zone = schema.EvacuatedZone(item.key)) {
      (*report)["zone " + zone->text()] = "evacuated";
    }
  }
  return report;
}

std::string TaskText(const TaskProgress& task) {
  switch (task.phase) {
    case TaskPhase::kDone:
      return "done";
    case TaskPhase::kPlaced:
      return fmt::format("attempt {} on {}, {} failures", task.attempt.value(), task.minion.text(),
                         task.failures);
    case TaskPhase::kWaiting:
      return fmt::format("waiting, {} attempts, {} failures", task.attempt.value(), task.failures);
  }
  return "";
}

absl::StatusOr<Json> JobReport(StoreReader& store, const PlatformOptions& options) {
  const JobId id(options.job);
  const ReadAnswer accepted = store.ReadAll(AcceptedKey(id));
  const ReadAnswer progress = store.ReadAll(ProgressKey(id));
  if (accepted.result != ReadResult::kOk || progress.result != ReadResult::kOk) {
    return StoreReadError(accepted.result != ReadResult::kOk ? accepted : progress);
  }
  if (accepted.items.empty()) {
    return absl::NotFoundError("no such job");
  }
  const absl::StatusOr<AcceptedJob> job = DecodeAcceptedJob(accepted.items.front().value);
  if (!job.ok()) {
    return job.status();
  }
  Json report{{"queue", job->queue.text()},
              {"workspace", job->workspace.text()},
              {"priority", job->priority.value()},
              {"accepted_at_ms", job->accepted_at.count()},
              {"cancelled", accepted.items.size() > 1},
              {"state", WorkStateText(WorkState::kQueued)}};
  if (progress.items.empty()) {
    return report;
  }
  const absl::StatusOr<JobProgress> progress_record =
      DecodeJobProgress(progress.items.front().value);
  if (!progress_record.ok()) {
    return progress_record.status();
  }
  report["state"] = WorkStateText(progress_record->state);
  for (std::size_t step = 0; step < progress_record->steps.size(); ++step) {
    for (std::size_t index = 0; index < progress_record->steps[step].tasks.size(); ++index) {
      report[fmt::format("task {}.{}", step, index)] =
          TaskText(progress_record->steps[step].tasks[index]);
    }
  }
  return report;
}

void RunReport(CommandContext& context, const PlatformOptions& options,
               const ReportFunction& report) {
  const absl::StatusOr<std::string> path = options.settings.empty()
                                               ? platform::EdgeSettingsPath()
                                               : absl::StatusOr<std::string>(options.settings);
  const absl::StatusOr<std::string> text =
      path.ok() ? ReadTextFile(*path) : absl::StatusOr<std::string>(path.status());
  const absl::StatusOr<platform::EdgeSettings> settings =
      text.ok() ? platform::ParseEdgeSettings(*text, *path) : text.status();
  if (!settings.ok()) {
    PrintUsageError(context, std::string(settings.status().message()));
    return;
  }
  StoreReader store(settings->store_address);
  const absl::StatusOr<Json> result = report(store, options);
  if (!result.ok()) {
    fmt::print(stderr, "{}\n", std::string(result.status().message()));
    context.exit_code = ExitCode::kNotRun;
    return;
  }
  PrintReport(context, *result);
}

}  // namespace

void AddPlatformCommands(CLI::App& app, CommandContext& context) {
  const std::shared_ptr<PlatformOptions> options = std::make_shared<PlatformOptions>();
  CLI::App* const parent =
      app.add_subcommand("platform", "Inspect the store of the users' platform; changes nothing");
  parent->require_subcommand(1);
  parent->add_option("--settings", options->settings,
                     "The platform's settings file; default: the path that the platform gives");
  const auto add = [parent, &context, options](const char* name, const char* help,
                                               const ReportFunction& report) {
    CLI::App* const command = parent->add_subcommand(name, help);
    command->callback([&context, options, report] { RunReport(context, *options, report); });
    return command;
  };
  add("term", "Show the leader and its fencing token", TermReport);
  add("manifest", "Show the manifest in force", ManifestReport);
  add("status", "Show the leader, jobs by state, minions, evacuated zones", StatusReport);
  add("job", "Show the stored state of one job", JobReport)
      ->add_option("id", options->job, "Job id")
      ->required();
}

}  // namespace papayalift
