#include "libraries/lab/report_codec.h"

#include <nlohmann/json.hpp>

namespace papayalift {

namespace {

/// Preserves the order of insertion.
using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;

Json Encode(const SampleSummary& summary) {
  return Json{{"mean", summary.mean}, {"p50", summary.p50},     {"p95", summary.p95},
              {"p99", summary.p99},   {"worst", summary.worst}, {"samples", summary.count}};
}

Json Encode(const JobGroupReport& group) {
  return Json{{"name", group.name},
              {"jobs", group.jobs},
              {"unfinished", group.unfinished},
              {"completion_s", Encode(group.completion)},
              {"slowdown", Encode(group.slowdown)},
              {"longest_wait_s", group.longest_wait}};
}

Json Encode(const std::vector<JobGroupReport>& groups) {
  Json json = Json::array();
  for (const JobGroupReport& group : groups) {
    json.push_back(Encode(group));
  }
  return json;
}

Json Encode(const JobCounts& jobs) {
  return Json{{"submitted", jobs.submitted},
              {"refused", jobs.refused},
              {"wrongly_accepted", jobs.wrongly_accepted},
              {"wrongly_refused", jobs.wrongly_refused},
              {"done", jobs.done},
              {"cancelled", jobs.cancelled},
              {"unfinished", jobs.unfinished},
              {"requeued", jobs.requeued}};
}

Json Encode(const WorkTally& work) {
  return Json{{"held", work.held},         {"useful", work.useful},
              {"lost", work.lost},         {"cancelled", work.cancelled},
              {"overhead", work.overhead}, {"repeated", work.repeated}};
}

Json Encode(const ClaimReport& claims) {
  return Json{{"claims", claims.wait.count},
              {"wait_s", Encode(claims.wait)},
              {"missed", claims.missed},
              {"missed_in_zone_changes", claims.missed_in_zone_changes},
              {"missed_at_own_quota", claims.missed_at_own_quota}};
}

Json Encode(const InvariantReport& invariants) {
  return Json{{"partial_gangs", invariants.partial_gangs},
              {"split_gangs", invariants.split_gangs},
              {"capacity_exceeded", invariants.capacity_exceeded},
              {"placed_into_zone_out", invariants.placed_into_zone_out}};
}

}  // namespace

std::string EncodeRunReport(const RunReport& report) {
  const Json json{
      {"scenario", report.scenario},
      {"policy", report.policy},
      {"seed", report.seed},
      {"jobs", Encode(report.jobs)},
      {"overall", Encode(report.overall)},
      {"by_class", Encode(report.by_class)},
      {"by_size", Encode(report.by_size)},
      {"fragmentation",
       {{"shape", report.largest_shape},
        {"share", report.fragmentation},
        {"floor", report.fragmentation_floor}}},
      {"utilisation", report.utilisation},
      {"accelerator_hours", Encode(report.work)},
      {"zone_changes",
       {{"accelerator_hours", Encode(report.work_in_zone_changes)},
        {"allowed_accelerator_hours", report.allowed_in_zone_changes},
        {"useful_share", report.UsefulShareInZoneChanges()}}},
      {"guarantees",
       {{"urgent", Encode(report.urgent_claims)}, {"normal", Encode(report.normal_claims)}}},
      {"invariants", Encode(report.invariants)},
      {"passes", report.passes},
      {"wall_clock",
       {{"decisions_per_second", report.cost.per_second},
        {"decision_us", Encode(report.cost.microseconds)}}}};
  return json.dump(kIndent);
}

}  // namespace papayalift
