#include "libraries/journal/accepted_job_codec.h"

#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

Json EncodeStep(const StepSpec& step) {
  Json json{{"count", step.count},
            {"cpu", step.needs.cpu_milli},
            {"memory", step.needs.memory_mb},
            {"accelerators", step.needs.accelerators},
            {"estimate_ms", step.estimate.count()}};
  if (step.kind == WorkStepKind::kGang) {
    json["gang"] = true;
  }
  if (!step.after.empty()) {
    json["after"] = step.after;
  }
  if (step.saves_checkpoints) {
    json["checkpoints"] = true;
  }
  if (step.prefers_one_rack) {
    json["one_rack"] = true;
  }
  if (!step.data_rack.empty()) {
    json["data_rack"] = step.data_rack.text();
  }
  if (!step.required_label.empty()) {
    json["label"] = step.required_label;
  }
  if (step.max_tasks_per_worker > 0) {
    json["most_per_worker"] = step.max_tasks_per_worker;
  }
  return json;
}

StepSpec DecodeStep(const Json& json) {
  StepSpec step;
  step.count = json.at("count").get<int>();
  step.needs.cpu_milli = json.value("cpu", std::int64_t{0});
  step.needs.memory_mb = json.value("memory", std::int64_t{0});
  step.needs.accelerators = json.value("accelerators", std::int64_t{0});
  step.estimate = MillisecondsAt(json, "estimate_ms");
  step.kind = json.value("gang", false) ? WorkStepKind::kGang : WorkStepKind::kIndependentTasks;
  step.after = json.value("after", std::vector<int>());
  step.saves_checkpoints = json.value("checkpoints", false);
  step.prefers_one_rack = json.value("one_rack", false);
  step.data_rack = IdAt<RackId>(json, "data_rack");
  step.required_label = json.value("label", std::string());
  step.max_tasks_per_worker = json.value("most_per_worker", 0);
  return step;
}

AcceptedJob DecodeJob(const Json& json) {
  AcceptedJob job;
  job.id = IdAt<JobId>(json, "id");
  job.queue = IdAt<QueueId>(json, "queue");
  job.service = IdAt<ServiceId>(json, "service");
  job.workspace = IdAt<WorkspaceId>(json, "workspace");
  job.priority = Priority(json.value("priority", 0));
  job.max_attempts = json.value("most_attempts", 1);
  job.slack_factor = json.value("slack_factor", 1.0);
  job.latency_target = MillisecondsAt(json, "latency_target_ms");
  job.accepted_at = MillisecondsAt(json, "accepted_at_ms");
  job.work.payload = json.value("payload", std::string());
  for (const Json& step : json.at("steps")) {
    job.work.steps.push_back(DecodeStep(step));
  }
  return job;
}

}  // namespace

std::string EncodeAcceptedJob(const AcceptedJob& job) {
  Json json{{"id", job.id.text()},
            {"queue", job.queue.text()},
            {"service", job.service.text()},
            {"workspace", job.workspace.text()},
            {"priority", job.priority.value()},
            {"most_attempts", job.max_attempts},
            {"slack_factor", job.slack_factor},
            {"latency_target_ms", job.latency_target.count()},
            {"accepted_at_ms", job.accepted_at.count()},
            {"payload", job.work.payload}};
  Json& steps = json["steps"] = Json::array();
  for (const StepSpec& step : job.work.steps) {
    steps.push_back(EncodeStep(step));
  }
  constexpr int kOneLine = -1;
  return json.dump(kOneLine, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<AcceptedJob> DecodeAcceptedJob(std::string_view text) {
  return DecodeRecord<AcceptedJob>(text, DecodeJob);
}

}  // namespace papayalift
