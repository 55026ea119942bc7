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

  void Guarantee(const std::string& workspace, int tasks, int accelerators, int count) {
    const Shape shape{TaskCount(tasks), AcceleratorCount(accelerators)};
    bundle.workspaces.push_back(
        WorkspaceSpec{WorkspaceId(workspace), AcceleratorCount(100), {{shape, count}}});
  }

  Bundle bundle;
};

}  // namespace

Test(check_guarantees, fit_with_any_zone_out_finds_no_gap) {
  BundleFixture fixture;
  fixture.Guarantee("w", 2, 4, 1);
  cr_assert(CheckGuarantees(fixture.bundle).empty());
}

Test(check_guarantees, fit_only_with_all_zones_in_names_each_zone) {
  BundleFixture fixture;
  fixture.Guarantee("w", 2, 4, 2);
  const std::vector<GuaranteeGap> gaps = CheckGuarantees(fixture.bundle);
  cr_assert_eq(gaps.size(), 2);
  cr_assert(gaps[0].zone_out == ZoneId("a"));
  cr_assert_eq(gaps[0].missing, 1);
  fixture.bundle.zone_loss = ZoneLossRule::kAccepted;
  cr_assert(CheckGuarantees(fixture.bundle).empty());
}

Test(check_guarantees, enough_accelerators_but_none_adjacent_names_the_shape) {
  BundleFixture fixture;
  fixture.bundle.zone_loss = ZoneLossRule::kAccepted;
  fixture.Guarantee("w", 1, 8, 1);
  const std::vector<GuaranteeGap> gaps = CheckGuarantees(fixture.bundle);
  cr_assert_eq(gaps.size(), 1);
  cr_assert(gaps[0].shape == (Shape{TaskCount(1), AcceleratorCount(8)}));
  cr_assert_not(gaps[0].zone_out.has_value());
  cr_assert_eq(Describe(gaps[0]),
               "workspace 'w': 1 of its guaranteed 1 times 8 adjacent accelerators has no place");
}

Test(guarantees_now, zone_out_names_what_holds_and_what_cannot) {
  BundleFixture fixture;
  fixture.Guarantee("large", 2, 4, 1);
  fixture.Guarantee("other", 1, 4, 1);
  Snapshot snapshot;
  snapshot.workspaces = fixture.bundle.workspaces;
  for (const WorkerSpec& worker : fixture.bundle.workers) {
    snapshot.workers.push_back(WorkerView{worker.id, worker.zone, worker.rack, worker.accelerators,
                                          WorkerHealth::kHealthy});
  }
  snapshot.zones.states[ZoneId("a")] = ZoneState::kOut;
  const GuaranteeState state = GuaranteesNow(snapshot);
  cr_assert_eq(state.kept.size(), 1);
  cr_assert(state.kept[0].workspace == WorkspaceId("large"));
  cr_assert_eq(state.lost.size(), 1);
  cr_assert(state.lost[0].workspace == WorkspaceId("other"));
}

}  // namespace papayalift
