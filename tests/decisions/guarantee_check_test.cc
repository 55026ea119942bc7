#include "libraries/decisions/guarantee_check.h"

#include <criterion/criterion.h>

namespace papayalift {

namespace {

/// Two zones with two workers of four accelerators each.
struct BundleFixture {
  BundleFixture() {
    for (const char* const zone : {"a", "b"}) {
      bundle.zones.push_back(ZoneSpec{ZoneId(zone)});
      for (const char* const worker : {"1", "2"}) {
        bundle.workers.push_back(WorkerSpec{WorkerId(std::string(zone) + worker), ZoneId(zone),
                                            RackId(zone), "", AcceleratorCount(4)});
      }
    }
  }

  void AddGuarantee(const std::string& workspace, int tasks, int accelerators, int count) {
    const Shape shape{TaskCount(tasks), AcceleratorCount(accelerators)};
    bundle.workspaces.push_back(
        WorkspaceSpec{WorkspaceId(workspace), AcceleratorCount(100), {{shape, count}}});
  }

  Bundle bundle;
};

}  // namespace

Test(check_guarantees, fit_with_any_zone_out_reports_no_shortfall) {
  BundleFixture fixture;
  fixture.AddGuarantee("w", 2, 4, 1);
  cr_assert(CheckGuarantees(fixture.bundle).empty());
}

Test(check_guarantees, fit_only_with_all_zones_in_reports_each_zone) {
  BundleFixture fixture;
  fixture.AddGuarantee("w", 2, 4, 2);
  const std::vector<GuaranteeShortfall> shortfalls = CheckGuarantees(fixture.bundle);
  cr_assert_eq(shortfalls.size(), 2);
  cr_assert(shortfalls[0].zone_out == ZoneId("a"));
  cr_assert_eq(shortfalls[0].missing, 1);
  fixture.bundle.zone_loss = ZoneLossRule::kAccepted;
  cr_assert(CheckGuarantees(fixture.bundle).empty());
}

Test(check_guarantees, enough_accelerators_not_adjacent_reports_the_shape) {
  BundleFixture fixture;
  fixture.bundle.zone_loss = ZoneLossRule::kAccepted;
  fixture.AddGuarantee("w", 1, 8, 1);
  const std::vector<GuaranteeShortfall> shortfalls = CheckGuarantees(fixture.bundle);
  cr_assert_eq(shortfalls.size(), 1);
  cr_assert(shortfalls[0].shape == (Shape{TaskCount(1), AcceleratorCount(8)}));
  cr_assert_not(shortfalls[0].zone_out.has_value());
  cr_assert_eq(Describe(shortfalls[0]),
               "workspace 'w': 1 of its guaranteed 1 times 8 adjacent accelerators has no place");
}

Test(current_guarantee_state, zone_out_lists_kept_and_lost_guarantees) {
  BundleFixture fixture;
  fixture.AddGuarantee("large", 2, 4, 1);
  fixture.AddGuarantee("other", 1, 4, 1);
  Snapshot snapshot;
  snapshot.workspaces = fixture.bundle.workspaces;
  for (const WorkerSpec& worker : fixture.bundle.workers) {
    snapshot.workers.push_back(WorkerView{worker.id, worker.zone, worker.rack, worker.accelerators,
                                          WorkerHealth::kHealthy});
  }
  snapshot.zones.states[ZoneId("a")] = ZoneState::kOut;
  const GuaranteeState state = CurrentGuaranteeState(snapshot);
  cr_assert_eq(state.kept.size(), 1);
  cr_assert(state.kept[0].workspace == WorkspaceId("large"));
  cr_assert_eq(state.lost.size(), 1);
  cr_assert(state.lost[0].workspace == WorkspaceId("other"));
}

}  // namespace papayalift
