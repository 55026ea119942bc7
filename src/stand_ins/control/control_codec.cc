#include "stand_ins/control/control_codec.h"

#include "libraries/base/try.h"
#include "libraries/model/json_document.h"
#include "stand_ins/control/fault_names.h"

namespace papayalift {

namespace {

absl::StatusOr<FaultRule> RuleOf(const Json& json) {
  FaultRule rule;
  const std::optional<FaultKind> kind = FaultKindFromText(json.value("kind", ""));
  if (!kind.has_value()) {
    return absl::InvalidArgumentError("unknown 'kind' in a fault rule");
  }
  rule.kind = *kind;
  rule.path = json.value("path", "/");
  rule.probability = json.value("probability", 1.0);
  rule.count = json.value("count", 0);
  rule.delay = MillisecondsAt(json, "delay_ms");
  if (rule.probability < 0.0 || rule.probability > 1.0) {
    return absl::InvalidArgumentError("'probability' of a fault rule must be between 0 and 1");
  }
  return rule;
}

Json RuleJson(const FaultRule& rule) {
  return Json{{"kind", FaultKindText(rule.kind)},
              {"path", rule.path},
              {"probability", rule.probability},
              {"count", rule.count},
              {"delay_ms", rule.delay.count()}};
}

}  // namespace

std::string EncodeFaultOrder(const FaultOrder& order) {
  Json rules = Json::array();
  for (const FaultRule& rule : order.rules) {
    rules.push_back(RuleJson(rule));
  }
  return Json{{"seed", order.seed}, {"rules", rules}}.dump();
}

absl::StatusOr<FaultOrder> DecodeFaultOrder(std::string_view text) {
  return DecodeRecord<FaultOrder>(text, [](const Json& json) -> absl::StatusOr<FaultOrder> {
    FaultOrder order;
    order.seed = json.value("seed", std::uint64_t{1});
    for (const Json& rule : json.value("rules", Json::array())) {
      order.rules.push_back(TRY(RuleOf(rule)));
    }
    return order;
  });
}

std::string EncodeConductOrder(const ConductOrder& order) {
  return Json{{"conduct", ConductText(order.conduct)},
              {"report_lag_ms", order.report_lag.count()},
              {"work_ms", order.work.count()}}
      .dump();
}

absl::StatusOr<ConductOrder> DecodeConductOrder(std::string_view text) {
  return DecodeRecord<ConductOrder>(text, [](const Json& json) -> absl::StatusOr<ConductOrder> {
    ConductOrder order;
    const std::optional<Conduct> conduct = ConductFromText(json.value("conduct", "normal"));
    if (!conduct.has_value()) {
      return absl::InvalidArgumentError("unknown 'conduct'");
    }
    order.conduct = *conduct;
    order.report_lag = MillisecondsAt(json, "report_lag_ms");
    order.work = Milliseconds(json.value("work_ms", order.work.count()));
    return order;
  });
}

std::string EncodeWorkerRecord(const WorkerRecord& record) {
  Json starts = Json::array();
  for (const StartRecord& start : record.starts) {
    starts.push_back(Json{{"attempt", start.attempt.text()},
                          {"job", start.job.text()},
                          {"tasks", start.tasks},
                          {"at_ms", start.at.count()}});
  }
  Json renewals = Json::array();
  for (const RenewalRecord& renewal : record.renewals) {
    renewals.push_back(Json{{"attempt", renewal.attempt.text()},
                            {"at_ms", renewal.at.count()},
                            {"gap_ms", renewal.gap.count()}});
  }
  Json running = Json::array();
  for (const RunningAttempt& attempt : record.running) {
    running.push_back(Json{{"attempt", attempt.attempt.text()}, {"tasks", attempt.tasks}});
  }
  return Json{{"starts", starts}, {"renewals", renewals}, {"running", running}}.dump();
}

absl::StatusOr<WorkerRecord> DecodeWorkerRecord(std::string_view text) {
  return DecodeRecord<WorkerRecord>(text, [](const Json& json) {
    WorkerRecord record;
    for (const Json& start : json.at("starts")) {
      record.starts.push_back(StartRecord{IdAt<AttemptId>(start, "attempt"),
                                          IdAt<JobId>(start, "job"), start.value("tasks", 0),
                                          MillisecondsAt(start, "at_ms")});
    }
    for (const Json& renewal : json.at("renewals")) {
      record.renewals.push_back(RenewalRecord{IdAt<AttemptId>(renewal, "attempt"),
                                              MillisecondsAt(renewal, "at_ms"),
                                              MillisecondsAt(renewal, "gap_ms")});
    }
    for (const Json& attempt : json.at("running")) {
      record.running.push_back(
          RunningAttempt{IdAt<AttemptId>(attempt, "attempt"), attempt.value("tasks", 0)});
    }
    return record;
  });
}

std::string EncodeMinionRecord(const MinionRecord& record) {
  Json begins = Json::array();
  for (const BeginRecord& begin : record.begins) {
    begins.push_back(Json{{"request_id", begin.request_id}, {"at_ms", begin.at.count()}});
  }
  return Json{{"begins", begins}}.dump();
}

absl::StatusOr<MinionRecord> DecodeMinionRecord(std::string_view text) {
  return DecodeRecord<MinionRecord>(text, [](const Json& json) {
    MinionRecord record;
    for (const Json& begin : json.at("begins")) {
      record.begins.push_back(
          BeginRecord{begin.value("request_id", ""), MillisecondsAt(begin, "at_ms")});
    }
    return record;
  });
}

}  // namespace papayalift
