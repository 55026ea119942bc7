#include "libraries/journal/job_progress_codec.h"

#include <array>

#include "libraries/base/enum_names.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr std::array<EnumName<WorkState>, 5> kStateNames{{{WorkState::kQueued, "queued"},
                                                          {WorkState::kRunning, "running"},
                                                          {WorkState::kDone, "done"},
                                                          {WorkState::kFailed, "failed"},
                                                          {WorkState::kCancelled, "cancelled"}}};

// A task is encoded as 0 before its first attempt, as 1 when it is done, else as an array of
// fields.
constexpr int kTaskNotAttempted = 0;
constexpr int kTaskDone = 1;
enum TaskField : std::size_t {
  kPlacedField,
  kAttemptField,
  kFailuresField,
  kLastFailedField,
  kCheckpointField,
  kMinionField,
  kIncarnationField,
  // Only present if the task is placed, or has crashed a minion or may have, at its start or later.
  kCrashesField,
  kCrashesOfOneJobField,
  // As these; empty unless the task is placed.
  kAddressField,
  // Only present if the task has crashed a minion or may have, or one of the fields below is.
  kFirstCrashAddressField,
  kCrashesAtFirstAddressField,
  // Only present if a minion has crashed some time after it had started the task, or one of the
  // fields below is.
  kLateCrashesField,
  kLateCrashesAtFirstAddressField,
  kLateCrashAfterField,
  kPlacedAtField,
  // Only present if losses are open or the process that the task is placed on has announced its
  // end.
  kOpenLossesField,
  // Only present if the process that the task is placed on has announced its end.
  kAnnouncedEndField,
};

// An open loss is encoded as an array of fields.
enum OpenLossField : std::size_t {
  kLossMinionField,
  kLossIncarnationField,
  kLossAddressField,
  kLossIsOfOneJobField,
  kLossIsLateField,
  kLossRanForField,
};

Json EncodeOpenLosses(const std::vector<OpenLoss>& losses) {
  Json json = Json::array();
  for (const OpenLoss& loss : losses) {
    json.push_back({loss.minion.text(), loss.incarnation.value(), loss.address, loss.is_of_one_job,
                    loss.is_late, loss.ran_for.count()});
  }
  return json;
}

OpenLoss DecodeOpenLoss(const Json& json) {
  OpenLoss loss;
  loss.minion = MinionId(json.at(kLossMinionField).get<std::string>());
  loss.incarnation = MinionIncarnation(json.at(kLossIncarnationField).get<std::int64_t>());
  loss.address = json.at(kLossAddressField).get<std::string>();
  loss.is_of_one_job = json.at(kLossIsOfOneJobField).get<bool>();
  loss.is_late = json.at(kLossIsLateField).get<bool>();
  loss.ran_for = Milliseconds(json.at(kLossRanForField).get<std::int64_t>());
  return loss;
}

Json EncodeTask(const TaskProgress& task) {
  if (task.phase == TaskPhase::kDone) {
    return kTaskDone;
  }
  if (task == TaskProgress{}) {
    return kTaskNotAttempted;
  }
  Json json = Json::array({task.phase == TaskPhase::kPlaced, task.attempt.value(), task.failures,
                           task.last_failed.value(), task.checkpoint});
  const bool is_placed = task.phase == TaskPhase::kPlaced;
  const bool has_announced_end = is_placed && task.announced_end.has_value();
  const bool has_open_losses = !task.open_losses.empty() || has_announced_end;
  const bool has_crashed = task.crashes > 0 || task.late_crashes > 0 || has_open_losses;
  if (is_placed || has_crashed) {
    json.push_back(task.minion.text());
    json.push_back(task.incarnation.value());
    json.push_back(task.crashes);
    json.push_back(task.crashes_of_one_job);
    json.push_back(task.address);
  }
  if (has_crashed) {
    json.push_back(task.first_crash_address);
    json.push_back(task.crashes_at_first_address);
  }
  if (task.late_crashes > 0 || has_open_losses) {
    json.push_back(task.late_crashes);
    json.push_back(task.late_crashes_at_first_address);
    json.push_back(task.late_crash_after.count());
    json.push_back(task.placed_at.count());
  }
  if (has_open_losses) {
    json.push_back(EncodeOpenLosses(task.open_losses));
  }
  if (has_announced_end) {
    json.push_back(task.announced_end->value());
  }
  return json;
}

TaskProgress DecodeTask(const Json& json) {
  TaskProgress task;
  if (json.is_number()) {
    task.phase = json.get<int>() == kTaskDone ? TaskPhase::kDone : TaskPhase::kWaiting;
    return task;
  }
  task.phase = json.at(kPlacedField).get<bool>() ? TaskPhase::kPlaced : TaskPhase::kWaiting;
  task.attempt = AttemptNumber(json.at(kAttemptField).get<int>());
  task.failures = json.at(kFailuresField).get<int>();
  task.last_failed = AttemptNumber(json.at(kLastFailedField).get<int>());
  task.checkpoint = json.at(kCheckpointField).get<std::string>();
  if (task.phase == TaskPhase::kPlaced) {
    task.minion = MinionId(json.at(kMinionField).get<std::string>());
    task.incarnation = MinionIncarnation(json.at(kIncarnationField).get<std::int64_t>());
  }
  if (json.size() > kCrashesField) {
    task.crashes = json.at(kCrashesField).get<int>();
    task.crashes_of_one_job = json.at(kCrashesOfOneJobField).get<int>();
  }
  if (json.size() > kAddressField) {
    task.address = json.at(kAddressField).get<std::string>();
  }
  if (json.size() > kCrashesAtFirstAddressField) {
    task.first_crash_address = json.at(kFirstCrashAddressField).get<std::string>();
    task.crashes_at_first_address = json.at(kCrashesAtFirstAddressField).get<int>();
  }
  if (json.size() > kPlacedAtField) {
    task.late_crashes = json.at(kLateCrashesField).get<int>();
    task.late_crashes_at_first_address = json.at(kLateCrashesAtFirstAddressField).get<int>();
    task.late_crash_after = Milliseconds(json.at(kLateCrashAfterField).get<std::int64_t>());
    task.placed_at = Milliseconds(json.at(kPlacedAtField).get<std::int64_t>());
  }
  if (json.size() > kOpenLossesField) {
    for (const Json& loss : json.at(kOpenLossesField)) {
      task.open_losses.push_back(DecodeOpenLoss(loss));
    }
  }
  if (json.size() > kAnnouncedEndField) {
    task.announced_end = HeartbeatNumber(json.at(kAnnouncedEndField).get<std::int64_t>());
  }
  return task;
}

WorkState DecodeState(const Json& json) {
  return EnumFromText(kStateNames, json.at("state").get<std::string>())
      .value_or(WorkState::kQueued);
}

JobProgress DecodeProgress(const Json& json) {
  JobProgress progress;
  progress.state = DecodeState(json);
  progress.ended_at = MillisecondsAt(json, "ended_at_ms");
  for (const Json& step : json.at("steps")) {
    StepProgress& decoded = progress.steps.emplace_back();
    for (const Json& task : step) {
      decoded.tasks.push_back(DecodeTask(task));
    }
  }
  return progress;
}

}  // namespace

std::string WorkStateText(WorkState state) { return EnumText(kStateNames, state); }

std::string EncodeJobProgress(const JobProgress& progress) {
  Json json{{"state", WorkStateText(progress.state)}, {"ended_at_ms", progress.ended_at.count()}};
  Json& steps = json["steps"] = Json::array();
  for (const StepProgress& step : progress.steps) {
    Json& tasks = steps.emplace_back(Json::array());
    for (const TaskProgress& task : step.tasks) {
      tasks.push_back(EncodeTask(task));
    }
  }
  return json.dump();
}

absl::StatusOr<JobProgress> DecodeJobProgress(std::string_view text) {
  return DecodeRecord<JobProgress>(text, DecodeProgress);
}

absl::StatusOr<WorkState> DecodeWorkState(std::string_view text) {
  return DecodeRecord<WorkState>(text, DecodeState);
}

}  // namespace papayalift
