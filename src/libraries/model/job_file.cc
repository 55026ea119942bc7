#include "libraries/model/job_file.h"

#include <algorithm>

#include "libraries/base/try.h"
#include "libraries/model/accelerator_set.h"
#include "libraries/settings/config_document.h"

namespace papayalift {

namespace {

constexpr Milliseconds kMaxDeclaredRunTime{std::chrono::hours(24 * 365)};

JobSpec ReadJob(ConfigSection& job) {
  JobSpec spec;
  spec.workspace = WorkspaceId(job.RequiredText("workspace"));
  spec.key = CallerKey(job.RequiredText("key"));
  spec.shape.tasks = TaskCount(static_cast<int>(job.Number("tasks", 1, 1, kMaxGangTasks)));
  spec.shape.accelerators_per_task = AcceleratorCount(static_cast<int>(
      job.Number("accelerators_per_task", 1, 1, AcceleratorSet::kMaxWorkerAccelerators)));
  spec.declared_run_time =
      job.Duration("run_time", Milliseconds(0), Milliseconds(0), kMaxDeclaredRunTime);
  spec.idempotency =
      job.Flag("idempotent", true) ? Idempotency::kIdempotent : Idempotency::kNonIdempotent;
  spec.urgency = job.Flag("urgent", false) ? Urgency::kUrgent : Urgency::kNormal;
  spec.payload = job.Text("payload", "");
  return spec;
}

}  // namespace

absl::StatusOr<JobSpec> ParseJobFile(const std::string& text, const std::string& file) {
  ConfigDocument document = TRY(ConfigDocument::Parse(text, file));
  ConfigSection root = document.root();
  ConfigSection job = root.Section("job");
  const JobSpec spec = ReadJob(job);
  job.ReportUnknownKeys();
  root.ReportUnknownKeys();
  TRY(document.status());
  return spec;
}

}  // namespace papayalift
