#include "libraries/worker/worker_codec.h"

#include "libraries/base/enum_names.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr std::array<EnumName<AttemptPhase>, 6> kPhaseNames{{
    {AttemptPhase::kUnknown, "unknown"},
    {AttemptPhase::kReserved, "reserved"},
    {AttemptPhase::kRunning, "running"},
    {AttemptPhase::kSucceeded, "succeeded"},
    {AttemptPhase::kFailed, "failed"},
    {AttemptPhase::kStopped, "stopped"},
}};

AttemptReport ReportFromJson(const Json& json) {
  AttemptReport report;
  report.attempt = IdAt<AttemptId>(json, "attempt");
  report.phase =
      EnumFromText(kPhaseNames, json.value("phase", "unknown")).value_or(AttemptPhase::kUnknown);
  report.ever_started = json.value("ever_started", true) ? EverStarted::kYes : EverStarted::kNo;
  report.checkpoint = MillisecondsAt(json, "checkpoint_ms");
  return report;
}

}  // namespace

std::string EncodePrepare(const PrepareRequest& request) {
  Json tasks = Json::array();
  for (const AcceleratorSet task : request.tasks) {
    tasks.push_back(task.bits());
  }
  return Json{{"job", request.job.text()},
              {"attempt", request.attempt.text()},
              {"tasks", tasks},
              {"reservation_lease_ms", request.reservation_lease.count()}}
      .dump();
}

std::string EncodeStart(const StartRequest& request) {
  return Json{{"attempt", request.attempt.text()},
              {"payload", request.payload},
              {"run_lease_ms", request.run_lease.count()},
              {"resume_from_ms", request.resume_from.count()}}
      .dump();
}

std::string EncodeStop(const StopRequest& request) {
  return Json{{"job", request.job.text()},
              {"attempt", request.attempt.text()},
              {"checkpoint", request.mode == StopMode::kCheckpoint}}
      .dump();
}

std::string EncodeRenew(const RenewRequest& request) {
  Json attempts = Json::array();
  for (const AttemptId& attempt : request.attempts) {
    attempts.push_back(attempt.text());
  }
  return Json{{"attempts", attempts}, {"run_lease_ms", request.run_lease.count()}}.dump();
}

absl::StatusOr<PrepareRequest> DecodePrepare(std::string_view text) {
  return DecodeRecord<PrepareRequest>(text, [](const Json& json) {
    PrepareRequest request;
    request.job = IdAt<JobId>(json, "job");
    request.attempt = IdAt<AttemptId>(json, "attempt");
    for (const Json& task : json.at("tasks")) {
      request.tasks.push_back(AcceleratorSet(task.get<std::uint64_t>()));
    }
    request.reservation_lease = MillisecondsAt(json, "reservation_lease_ms");
    return request;
  });
}

absl::StatusOr<StartRequest> DecodeStart(std::string_view text) {
  return DecodeRecord<StartRequest>(text, [](const Json& json) {
    StartRequest request;
    request.attempt = IdAt<AttemptId>(json, "attempt");
    request.payload = json.value("payload", "");
    request.run_lease = MillisecondsAt(json, "run_lease_ms");
    request.resume_from = MillisecondsAt(json, "resume_from_ms");
    return request;
  });
}

absl::StatusOr<StopRequest> DecodeStop(std::string_view text) {
  return DecodeRecord<StopRequest>(text, [](const Json& json) {
    StopRequest request;
    request.job = IdAt<JobId>(json, "job");
    request.attempt = IdAt<AttemptId>(json, "attempt");
    request.mode = json.value("checkpoint", true) ? StopMode::kCheckpoint : StopMode::kAtOnce;
    return request;
  });
}

absl::StatusOr<RenewRequest> DecodeRenew(std::string_view text) {
  return DecodeRecord<RenewRequest>(text, [](const Json& json) {
    RenewRequest request;
    for (const Json& attempt : json.at("attempts")) {
      request.attempts.push_back(AttemptId(attempt.get<std::string>()));
    }
    request.run_lease = MillisecondsAt(json, "run_lease_ms");
    return request;
  });
}

std::string EncodeReports(const std::vector<AttemptReport>& reports) {
  Json list = Json::array();
  for (const AttemptReport& report : reports) {
    list.push_back(Json{{"attempt", report.attempt.text()},
                        {"phase", EnumText(kPhaseNames, report.phase)},
                        {"ever_started", report.ever_started == EverStarted::kYes},
                        {"checkpoint_ms", report.checkpoint.count()}});
  }
  return Json{{"reports", list}}.dump();
}

absl::StatusOr<std::vector<AttemptReport>> DecodeReports(std::string_view text) {
  return DecodeRecord<std::vector<AttemptReport>>(text, [](const Json& json) {
    std::vector<AttemptReport> reports;
    for (const Json& report : json.at("reports")) {
      reports.push_back(ReportFromJson(report));
    }
    return reports;
  });
}

}  // namespace papayalift
