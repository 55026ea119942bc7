#include "libraries/node/api_responses.h"

#include <map>
#include <utility>

#include "libraries/decisions/guarantee_check.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/job_names.h"
#include "libraries/model/json_document.h"
#include "libraries/node/snapshot_builder.h"

namespace papayalift {

namespace {

Json AuditJson(const AuditEntry& entry) {
  return Json{{"at_ms", entry.at.count()}, {"node", entry.node.text()}, {"actor", entry.actor},
              {"action", entry.action},    {"subject", entry.subject},  {"reason", entry.reason}};
}

Json ZoneListJson(const ZoneTable& zones, const FleetView& view) {
  Json list = Json::array();
  if (view.bundle != nullptr) {
    for (const ZoneSpec& zone : view.bundle->bundle.zones) {
      const bool in = zones.StateOf(zone.id) == ZoneState::kIn;
      list.push_back(Json{{"zone", zone.id.text()}, {"state", in ? "in" : "out"}});
    }
  }
  return list;
}

Json LostGuaranteesJson(const ZoneTable& zones, const FleetView& view) {
  Json lost = Json::array();
  if (view.bundle == nullptr) {
    return lost;
  }
  Snapshot snapshot = BuildSnapshot(view, Milliseconds(0));
  snapshot.zones = zones;
  for (const GuaranteeShortfall& shortfall : CurrentGuaranteeState(snapshot).lost) {
    lost.push_back(Describe(shortfall));
  }
  return lost;
}

}  // namespace

HttpResponse JsonResponse(std::string body) {
  HttpResponse response;
  response.body = std::move(body);
  return response;
}

HttpResponse ErrorResponse(const absl::Status& status, Verdict verdict) {
  HttpResponse response;
  response.status = HttpStatusOf(status.code());
  response.body =
      Json{{"error", std::string(status.message())}, {"verdict", VerdictText(verdict)}}.dump(
          -1, ' ', false, Json::error_handler_t::replace);
  return response;
}

HttpResponse ErrorResponse(const absl::Status& status) {
  const bool unclear = status.code() == absl::StatusCode::kUnknown;
  return ErrorResponse(status, unclear ? Verdict::kMayHaveRun : Verdict::kNotRun);
}

HttpResponse SubmitResponse(const SubmitResult& answer) {
  Json body = Json::parse(EncodeJob(answer.job));
  body["new"] = answer.acceptance == Acceptance::kNew;
  HttpResponse response = JsonResponse(body.dump());
  response.status = HttpStatus::kAccepted;
  return response;
}

HttpResponse JobListResponse(const FleetView& view) {
  Json jobs = Json::array();
  for (const auto& [id, job] : view.jobs) {
    jobs.push_back(Json::parse(EncodeJob(job->value)));
  }
  return JsonResponse(Json{{"jobs", jobs}}.dump());
}

HttpResponse ZonesResponse(const ZoneTable& zones, const FleetView& view) {
  return JsonResponse(Json{{"epoch", zones.epoch.value()},
                           {"zones", ZoneListJson(zones, view)},
                           {"guarantees_lost", LostGuaranteesJson(zones, view)}}
                          .dump());
}

HttpResponse BundleHistoryResponse(const std::vector<BundleRecord>& history,
                                   const CurrentBundle& current) {
  Json versions = Json::array();
  for (const BundleRecord& record : history) {
    versions.push_back(Json{{"version", record.version.value()},
                            {"digest", record.digest},
                            {"submitted_by", record.submitted_by.text()},
                            {"submitted_at_ms", record.submitted_at.count()},
                            {"signed_off", record.sign_off == SignOff::kGiven},
                            {"signed_off_by", record.signed_off_by.text()},
                            {"in_force", record.version == current.version}});
  }
  return JsonResponse(Json{{"current", current.version.value()}, {"versions", versions}}.dump());
}

HttpResponse AuditResponse(const std::vector<AuditEntry>& entries) {
  Json list = Json::array();
  for (const AuditEntry& entry : entries) {
    list.push_back(AuditJson(entry));
  }
  return JsonResponse(Json{{"entries", list}}.dump());
}

HttpResponse StatusResponse(const FleetView& view, const NodeId& self,
                            const std::vector<NodeId>& live) {
  std::map<std::string, int> states;
  for (const auto& [id, job] : view.jobs) {
    ++states[JobStateText(job->value.state)];
  }
  Json nodes = Json::array();
  for (const NodeId& node : live) {
    nodes.push_back(node.text());
  }
  const std::int64_t version = view.bundle == nullptr ? 0 : view.bundle->version.value();
  return JsonResponse(Json{
      {"node", self.text()},
      {"live_nodes", nodes},
      {"bundle_version", version},
      {"revision", view.revision.value()},
      {"zones", ZoneListJson(view.zones.value, view)},
      {"gangs_placed", view.placements.size()},
      {"jobs", states}}.dump());
}

HttpResponse ExplainResponse(const JobRecord& job, const std::string& explanation) {
  return JsonResponse(Json{
      {"id", job.id.text()},
      {"state", JobStateText(job.state)},
      {"verdict", VerdictText(job.verdict)},
      {"explanation",
       explanation}}.dump());
}

}  // namespace papayalift
