#include "libraries/decisions/first_fit.h"

#include <criterion/criterion.h>

#include "libraries/decisions/decide.h"

namespace papayalift {

namespace {

/// Two zones with one worker of four accelerators each.
struct TwoZoneFixture {
  TwoZoneFixture() {
    snapshot.workers = {WorkerView{WorkerId("w1"), ZoneId("a"), RackId("r1"), AcceleratorCount(4),
                                   WorkerHealth::kHealthy},
                        WorkerView{WorkerId("w2"), ZoneId("b"), RackId("r2"), AcceleratorCount(4),
                                   WorkerHealth::kHealthy}};
  }

  Snapshot snapshot;
};

}  // namespace

Test(first_fit, find_placement_gang_larger_than_any_zone_returns_none) {
  const TwoZoneFixture fixture;
  const CapacityMap capacity = CapacityMap::FromSnapshot(fixture.snapshot);
  cr_assert_not(
      FirstFit().FindPlacement(Shape{TaskCount(5), AcceleratorCount(1)}, capacity).has_value());
}

Test(first_fit, find_placement_zone_out_is_skipped) {
  TwoZoneFixture fixture;
  fixture.snapshot.zones.states[ZoneId("a")] = ZoneState::kOut;
  const CapacityMap capacity = CapacityMap::FromSnapshot(fixture.snapshot);
  const std::optional<PlacementChoice> choice =
      FirstFit().FindPlacement(Shape{TaskCount(2), AcceleratorCount(2)}, capacity);
  cr_assert(choice.has_value());
  cr_assert(choice->zone == ZoneId("b"));
}

}  // namespace papayalift
