#include "libraries/model/placement_codec.h"

#include "libraries/base/enum_names.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr std::array<EnumName<PlacementPhase>, 3> kPhaseNames{{
    {PlacementPhase::kReserved, "reserved"},
    {PlacementPhase::kCommitted, "committed"},
    {PlacementPhase::kStopping, "stopping"},
}};

constexpr std::array<EnumName<Claim>, 2> kClaimNames{{
    {Claim::kGuaranteed, "guaranteed"},
    {Claim::kBorrowed, "borrowed"},
}};

constexpr std::array<EnumName<AfterStop>, 3> kAfterStopNames{{
    {AfterStop::kQueueAgain, "queue again"},
    {AfterStop::kCancel, "cancel"},
    {AfterStop::kFail, "fail"},
}};

PlacementRecord PlacementFromJson(const Json& json) {
  PlacementRecord placement;
  placement.job = IdAt<JobId>(json, "job");
  placement.workspace = IdAt<WorkspaceId>(json, "workspace");
  placement.attempt_id = IdAt<AttemptId>(json, "attempt_id");
  placement.zone = IdAt<ZoneId>(json, "zone");
  placement.shape.accelerators_per_task = AcceleratorCount(json.at("accelerators_per_task"));
  placement.claim =
      EnumFromText(kClaimNames, json.at("claim").get<std::string>()).value_or(Claim::kBorrowed);
  placement.phase = EnumFromText(kPhaseNames, json.at("phase").get<std::string>())
                        .value_or(PlacementPhase::kStopping);
  for (const Json& task : json.at("tasks")) {
    placement.tasks.push_back(
        TaskPlacement{IdAt<WorkerId>(task, "worker"),
                      AcceleratorSet(task.at("accelerators").get<std::uint64_t>())});
  }
  placement.shape.tasks = TaskCount(static_cast<int>(placement.tasks.size()));
  placement.reserved_at = MillisecondsAt(json, "reserved_at_ms");
  placement.start_sent = json.value("start_sent", true) ? StartSent::kMaybe : StartSent::kNo;
  placement.after_stop = EnumFromText(kAfterStopNames, json.value("after_stop", "queue again"))
                             .value_or(AfterStop::kQueueAgain);
  placement.stop_reason = json.value("stop_reason", "");
  return placement;
}

}  // namespace

std::string EncodePlacement(const PlacementRecord& placement) {
  Json tasks = Json::array();
  for (const TaskPlacement& task : placement.tasks) {
    tasks.push_back(
        Json{{"worker", task.worker.text()}, {"accelerators", task.accelerators.bits()}});
  }
  return Json{{"job", placement.job.text()},
              {"workspace", placement.workspace.text()},
              {"attempt_id", placement.attempt_id.text()},
              {"zone", placement.zone.text()},
              {"accelerators_per_task", placement.shape.accelerators_per_task.value()},
              {"claim", EnumText(kClaimNames, placement.claim)},
              {"phase", EnumText(kPhaseNames, placement.phase)},
              {"tasks", tasks},
              {"reserved_at_ms", placement.reserved_at.count()},
              {"start_sent", placement.start_sent == StartSent::kMaybe},
              {"after_stop", EnumText(kAfterStopNames, placement.after_stop)},
              {"stop_reason", placement.stop_reason}}
      .dump();
}

absl::StatusOr<PlacementRecord> DecodePlacement(std::string_view text) {
  return DecodeRecord<PlacementRecord>(text, PlacementFromJson);
}

}  // namespace papayalift
