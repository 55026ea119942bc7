#include "libraries/model/job_codec.h"

#include <algorithm>

#include "libraries/base/try.h"
#include "libraries/model/accelerator_set.h"
#include "libraries/model/job_names.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

Json JobSpecToJson(const JobSpec& spec) {
  return Json{{"workspace", spec.workspace.text()},
              {"key", spec.key.text()},
              {"tasks", spec.shape.tasks.value()},
              {"accelerators_per_task", spec.shape.accelerators_per_task.value()},
              {"declared_run_time_ms", spec.declared_run_time.count()},
              {"idempotent", spec.idempotency == Idempotency::kIdempotent},
              {"urgency", UrgencyText(spec.urgency)},
              {"payload", spec.payload}};
}

JobSpec JobSpecFromJson(const Json& json) {
  JobSpec spec;
  spec.workspace = IdAt<WorkspaceId>(json, "workspace");
  spec.key = IdAt<CallerKey>(json, "key");
  spec.shape.tasks = TaskCount(json.value("tasks", 1));
  spec.shape.accelerators_per_task = AcceleratorCount(json.value("accelerators_per_task", 1));
  spec.declared_run_time = MillisecondsAt(json, "declared_run_time_ms");
  spec.idempotency =
      json.value("idempotent", true) ? Idempotency::kIdempotent : Idempotency::kNonIdempotent;
  spec.urgency = UrgencyFromText(json.value("urgency", "normal")).value_or(Urgency::kNormal);
  spec.payload = json.value("payload", "");
  return spec;
}

JobRecord JobRecordFromJson(const Json& json) {
  JobRecord job;
  job.id = IdAt<JobId>(json, "id");
  job.spec = JobSpecFromJson(json.at("spec"));
  job.state = JobStateFromText(json.value("state", "queued")).value_or(JobState::kQueued);
  job.attempt = AttemptNumber(json.value("attempt", 0));
  job.attempt_id = IdAt<AttemptId>(json, "attempt_id");
  job.verdict = VerdictFromText(json.value("verdict", "")).value_or(Verdict::kMayHaveRun);
  job.cancel =
      json.value("cancel_requested", false) ? CancelRequest::kRequested : CancelRequest::kNone;
  job.reason = json.value("reason", "");
  job.submitted_at = MillisecondsAt(json, "submitted_at_ms");
  job.queued_at = std::max(job.submitted_at, MillisecondsAt(json, "queued_at_ms"));
  job.started_at = MillisecondsAt(json, "started_at_ms");
  job.finished_at = MillisecondsAt(json, "finished_at_ms");
  job.checkpoint = MillisecondsAt(json, "checkpoint_ms");
  job.attained = MillisecondsAt(json, "attained_ms");
  return job;
}

absl::Status CheckUnknownFields(const Json& json) {
  const Json known = JobSpecToJson(JobSpec{});
  for (auto field = json.begin(); field != json.end(); ++field) {
    if (!known.contains(field.key())) {
      return absl::InvalidArgumentError(fmt::format("unknown field '{}'", field.key()));
    }
  }
  if (json.contains("urgency") && !UrgencyFromText(json["urgency"].get<std::string>())) {
    return absl::InvalidArgumentError("'urgency' must be \"normal\" or \"urgent\"");
  }
  return absl::OkStatus();
}

}  // namespace

std::string EncodeJobSpec(const JobSpec& spec) { return JobSpecToJson(spec).dump(); }

absl::StatusOr<JobSpec> DecodeJobSpec(std::string_view text) {
  const JobSpec spec =
      TRY(DecodeRecord<JobSpec>(text, [](const Json& json) -> absl::StatusOr<JobSpec> {
        TRY(CheckUnknownFields(json));
        return JobSpecFromJson(json);
      }));
  TRY(CheckJobSpec(spec));
  return spec;
}

std::string EncodeJob(const JobRecord& job) {
  return Json{{"id", job.id.text()},
              {"spec", JobSpecToJson(job.spec)},
              {"state", JobStateText(job.state)},
              {"attempt", job.attempt.value()},
              {"attempt_id", job.attempt_id.text()},
              {"verdict", VerdictText(job.verdict)},
              {"cancel_requested", job.cancel == CancelRequest::kRequested},
              {"reason", job.reason},
              {"submitted_at_ms", job.submitted_at.count()},
              {"queued_at_ms", job.queued_at.count()},
              {"started_at_ms", job.started_at.count()},
              {"finished_at_ms", job.finished_at.count()},
              {"checkpoint_ms", job.checkpoint.count()},
              {"attained_ms", job.attained.count()}}
      .dump();
}

absl::StatusOr<JobRecord> DecodeJob(std::string_view text) {
  return DecodeRecord<JobRecord>(text, JobRecordFromJson);
}

absl::Status CheckJobSpec(const JobSpec& spec) {
  if (spec.workspace.empty()) {
    return absl::InvalidArgumentError("'workspace' is missing");
  }
  if (spec.key.empty() || spec.key.text().size() > kMaxKeyBytes) {
    return absl::InvalidArgumentError(fmt::format("'key' must have 1 to {} bytes", kMaxKeyBytes));
  }
  const int tasks = spec.shape.tasks.value();
  if (tasks < 1 || tasks > kMaxGangTasks) {
    return absl::InvalidArgumentError(
        fmt::format("'tasks' is {}; it must be 1 to {}", tasks, kMaxGangTasks));
  }
  const int accelerators = spec.shape.accelerators_per_task.value();
  if (accelerators < 1 || accelerators > AcceleratorSet::kMaxWorkerAccelerators) {
    return absl::InvalidArgumentError(
        fmt::format("'accelerators_per_task' is {}; it must be 1 to {}", accelerators,
                    AcceleratorSet::kMaxWorkerAccelerators));
  }
  if (spec.declared_run_time < Milliseconds(0)) {
    return absl::InvalidArgumentError("'declared_run_time_ms' must not be negative");
  }
  if (spec.payload.size() > kMaxPayloadBytes) {
    return absl::InvalidArgumentError(fmt::format("'payload' has {} bytes; at most {} are allowed",
                                                  spec.payload.size(), kMaxPayloadBytes));
  }
  return absl::OkStatus();
}

}  // namespace papayalift
