#include "libraries/node/zone_manager.h"

#include <criterion/criterion.h>

#include "node/test_fleet.h"

namespace papayalift {

namespace {

struct ZoneManagerFixture {
  absl::StatusOr<ZoneTable> TakeOut(int node, const std::string& zone) {
    return fleet.node(node).zones().Change(
        ZoneChange{ZoneId(zone), ZoneState::kOut, OperatorId("op"), "works"});
  }

  TestFleet fleet{2};
};

}  // namespace

Test(zone_manager, change_answer_lost_is_found_in_force) {
  ZoneManagerFixture fixture;
  fixture.fleet.node(0).store().FailNextCommit(CommitFault::kAnswerLost);
  const absl::StatusOr<ZoneTable> answer = fixture.TakeOut(0, "a");
  cr_assert(answer.ok());
  cr_assert(answer->StateOf(ZoneId("a")) == ZoneState::kOut);
}

Test(zone_manager, change_applied_late_is_reported_as_unknown) {
  ZoneManagerFixture fixture;
  fixture.fleet.node(0).store().FailNextCommit(CommitFault::kDelayed);
  cr_assert(absl::IsUnknown(fixture.TakeOut(0, "a").status()));
  fixture.fleet.node(0).store().DeliverDelayed();
  cr_assert(fixture.fleet.Zones().StateOf(ZoneId("a")) == ZoneState::kOut);
}

Test(zone_manager, change_delayed_behind_another_operator_changes_nothing) {
  ZoneManagerFixture fixture;
  fixture.fleet.node(0).store().FailNextCommit(CommitFault::kDelayed);
  cr_assert(absl::IsUnknown(fixture.TakeOut(0, "a").status()));
  cr_assert(fixture.TakeOut(1, "b").ok());
  fixture.fleet.node(0).store().DeliverDelayed();
  cr_assert(fixture.fleet.Zones().StateOf(ZoneId("a")) == ZoneState::kIn);
  cr_assert(fixture.fleet.Zones().StateOf(ZoneId("b")) == ZoneState::kOut);
}

Test(zone_manager, change_of_unknown_zone_is_refused) {
  ZoneManagerFixture fixture;
  cr_assert(absl::IsNotFound(fixture.TakeOut(0, "nowhere").status()));
}

}  // namespace papayalift
