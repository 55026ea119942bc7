#include "libraries/lab/metric.h"

namespace papayalift {

namespace {

double UrgentMissed(const RunReport& report) { return report.urgent_claims.missed; }
double NormalMissed(const RunReport& report) { return report.normal_claims.missed; }
double MissedOutsideZoneChanges(const RunReport& report) {
  return report.urgent_claims.missed - report.urgent_claims.missed_in_zone_changes +
         report.normal_claims.missed - report.normal_claims.missed_in_zone_changes;
}

double Violations(const RunReport& report) {
  const InvariantReport& invariants = report.invariants;
  return invariants.partial_gangs + invariants.split_gangs + invariants.capacity_exceeded +
         invariants.placed_into_zone_out;
}

}  // namespace

const std::vector<Metric>& Metrics() {
  static const std::vector<Metric> kMetrics = {
      {"completion mean (s)", [](const RunReport& run) { return run.overall.completion.mean; }},
      {"completion p50 (s)", [](const RunReport& run) { return run.overall.completion.p50; }},
      {"completion p95 (s)", [](const RunReport& run) { return run.overall.completion.p95; }},
      {"completion p99 (s)", [](const RunReport& run) { return run.overall.completion.p99; }},
      {"slowdown mean", [](const RunReport& run) { return run.overall.slowdown.mean; }},
      {"slowdown p95", [](const RunReport& run) { return run.overall.slowdown.p95; }},
      {"longest wait (s)", [](const RunReport& run) { return run.overall.longest_wait; }},
      {"fragmentation", [](const RunReport& run) { return run.fragmentation; }},
      {"utilisation", [](const RunReport& run) { return run.utilisation; }},
      {"useful share in zone changes",
       [](const RunReport& run) { return run.UsefulShareInZoneChanges(); }},
      {"lost (accelerator-hours)", [](const RunReport& run) { return run.work.lost; }},
      {"requeued", [](const RunReport& run) { return static_cast<double>(run.jobs.requeued); }},
      {"unfinished", [](const RunReport& run) { return static_cast<double>(run.jobs.unfinished); }},
      {"urgent claims",
       [](const RunReport& run) { return static_cast<double>(run.urgent_claims.wait.count); }},
      {"urgent claims missed", UrgentMissed},
      {"urgent claim worst (s)", [](const RunReport& run) { return run.urgent_claims.wait.worst; }},
      {"other claims",
       [](const RunReport& run) { return static_cast<double>(run.normal_claims.wait.count); }},
      {"other claims missed", NormalMissed},
      {"claims missed outside zone changes", MissedOutsideZoneChanges},
      {"invariants broken", Violations},
      {"decision p99 (us, wall clock)",
       [](const RunReport& run) { return run.cost.microseconds.p99; }},
  };
  return kMetrics;
}

}  // namespace papayalift
