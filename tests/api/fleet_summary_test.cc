#include "libraries/node/fleet_summary.h"

#include <criterion/criterion.h>

#include "libraries/node/summary_metrics.h"

namespace papayalift {

namespace {

/// One zone with two workers of four accelerators each, and one workspace with a guarantee of one
/// gang of two tasks with two accelerators each.
struct FleetFixture {
  FleetFixture() {
    BundleInForce in_force;
    in_force.version = BundleVersion(3);
    Bundle& bundle = in_force.bundle;
    bundle.zones = {ZoneSpec{ZoneId("a")}};
    for (const char* const name : {"w1", "w2"}) {
      bundle.workers.push_back(
          WorkerSpec{WorkerId(name), ZoneId("a"), RackId("r"), "127.0.0.1:1", AcceleratorCount(4)});
    }
    WorkspaceSpec team;
    team.id = WorkspaceId("team");
    team.quota = AcceleratorCount(8);
    team.guarantees = {Guarantee{Shape{TaskCount(2), AcceleratorCount(2)}, 1}};
    bundle.workspaces = {team};
    view.bundle = std::make_shared<const BundleInForce>(in_force);
  }

  void AddPlacement(const std::string& job, const std::string& worker, AcceleratorSet accelerators,
                    Claim claim) {
    Versioned<PlacementRecord> record;
    record.value.job = JobId(job);
    record.value.workspace = WorkspaceId("team");
    record.value.zone = ZoneId("a");
    record.value.claim = claim;
    record.value.shape = Shape{TaskCount(1), accelerators.Count()};
    record.value.tasks = {TaskPlacement{WorkerId(worker), accelerators}};
    view.placements[record.value.job] = std::make_shared<const Versioned<PlacementRecord>>(record);
  }

  void AddWaitingJob(const std::string& job) {
    Versioned<JobRecord> record;
    record.value.id = JobId(job);
    record.value.spec.workspace = WorkspaceId("team");
    view.jobs[record.value.id] = std::make_shared<const Versioned<JobRecord>>(record);
  }

  FleetView view;
};

}  // namespace

Test(fleet_summary, empty_fleet_has_no_fragmentation) {
  const FleetFixture fixture;
  cr_assert(Summarize(fixture.view).fragmentation == 0.0);
}

Test(fleet_summary, scattered_placements_count_as_fragmentation) {
  FleetFixture fixture;
  // w1 has only single accelerators free and w2 two adjacent ones, which fit one task of 2x2, not
  // both.
  fixture.AddPlacement("j1", "w1", AcceleratorSet(0b0101), Claim::kBorrowed);
  fixture.AddPlacement("j2", "w2", AcceleratorSet(0b0011), Claim::kBorrowed);
  cr_assert(Summarize(fixture.view).fragmentation == 1.0);
}

Test(fleet_summary, workspace_counts_used_borrowed_and_owed) {
  FleetFixture fixture;
  fixture.AddPlacement("j1", "w1", AcceleratorSet(0b0011), Claim::kGuaranteed);
  fixture.AddPlacement("j2", "w2", AcceleratorSet(0b0001), Claim::kBorrowed);
  fixture.AddWaitingJob("j3");
  const FleetSummary summary = Summarize(fixture.view);
  const WorkspaceSummary& team = summary.workspaces.front();
  cr_assert(team.guaranteed == AcceleratorCount(4));
  cr_assert(team.used == AcceleratorCount(2));
  cr_assert(team.borrowed == AcceleratorCount(1));
  cr_assert(team.owed == AcceleratorCount(2));
  cr_assert(team.waiting_jobs == 1);
}

Test(fleet_summary, metrics_name_zone_and_workspace) {
  FleetFixture fixture;
  fixture.view.zones.value.states[ZoneId("a")] = ZoneState::kOut;
  const std::string text = SummaryMetrics(fixture.view);
  for (const char* const line :
       {"papayalift_bundle_version 3\n", "papayalift_zone_in_service{zone=\"a\"} 0\n",
        "papayalift_workspace_guaranteed{workspace=\"team\"} 4\n"}) {
    cr_assert(text.find(line) != std::string::npos, "%s is missing", line);
  }
}

}  // namespace papayalift
