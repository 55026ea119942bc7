#include "libraries/node/bundle_manager.h"

#include <criterion/criterion.h>

#include "node/test_fleet.h"

namespace papayalift {

namespace {

/// Two operators, each connected to a different node, with one signed-off version each.
struct TwoOperatorFixture {
  TwoOperatorFixture() {
    first = SubmitAndSignOff(0);
    second = SubmitAndSignOff(1);
  }

  BundleVersion SubmitAndSignOff(int node) {
    BundleManager& manager = fleet.node(node).bundles();
    const BundleRecord draft = manager.Submit(SmallerBundleText(), OperatorId("op")).value();
    return manager.SignOff(draft.version, draft.digest, OperatorId("op")).value().version;
  }
  absl::StatusOr<CurrentBundle> Roll(int node, BundleVersion version) {
    return fleet.node(node).bundles().Roll(version, BundleVersion(1), OperatorId("op"));
  }

  TestFleet fleet{2};
  BundleVersion first;
  BundleVersion second;
};

}  // namespace

Test(bundle_manager, submit_at_once_by_two_operators_gives_two_versions) {
  TwoOperatorFixture fixture;
  cr_assert(fixture.first != fixture.second);
}

Test(bundle_manager, roll_by_two_operators_from_the_same_version_applies_only_one) {
  TwoOperatorFixture fixture;
  cr_assert(fixture.Roll(1, fixture.second).ok());
  cr_assert(absl::IsAborted(fixture.Roll(0, fixture.first).status()));
  cr_assert(fixture.fleet.RolledVersion() == fixture.second);
}

Test(bundle_manager, roll_of_many_versions_keeps_the_newest_fifty) {
  constexpr int kRolls = 120;
  TestFleet fleet{1};
  BundleManager& manager = fleet.node(0).bundles();
  for (int roll = 0; roll < kRolls; ++roll) {
    const BundleVersion seen = manager.Current().value().version;
    const BundleRecord draft = manager.Submit(SmallerBundleText(), OperatorId("op")).value();
    cr_assert(manager.SignOff(draft.version, draft.digest, OperatorId("op")).ok());
    cr_assert(manager.Roll(draft.version, seen, OperatorId("op")).ok());
  }
  const std::vector<BundleRecord> history = manager.History().value();
  cr_assert_eq(history.size(), 50U);
  cr_assert(history.back().version == manager.Current().value().version);
  cr_assert_not(manager.Read(BundleVersion(1)).ok());
}

Test(bundle_manager, roll_delayed_behind_another_changes_nothing) {
  TwoOperatorFixture fixture;
  fixture.fleet.node(0).store().FailNextCommit(CommitFault::kDelayed);
  cr_assert(absl::IsUnknown(fixture.Roll(0, fixture.first).status()));
  cr_assert(fixture.Roll(1, fixture.second).ok());
  fixture.fleet.node(0).store().DeliverDelayed();
  cr_assert(fixture.fleet.RolledVersion() == fixture.second);
}

Test(bundle_manager, roll_answer_lost_is_found_in_force) {
  TwoOperatorFixture fixture;
  fixture.fleet.node(0).store().FailNextCommit(CommitFault::kAnswerLost);
  const absl::StatusOr<CurrentBundle> answer = fixture.Roll(0, fixture.first);
  cr_assert(answer.ok());
  cr_assert(answer->version == fixture.first);
}

Test(bundle_manager, submit_and_sign_off_answers_lost_are_found_done) {
  TwoOperatorFixture fixture;
  BundleManager& manager = fixture.fleet.node(0).bundles();
  fixture.fleet.node(0).store().FailNextCommit(CommitFault::kAnswerLost);
  const absl::StatusOr<BundleRecord> draft = manager.Submit(TestBundleText(), OperatorId("op"));
  cr_assert(draft.ok());
  fixture.fleet.node(0).store().FailNextCommit(CommitFault::kAnswerLost);
  cr_assert(manager.SignOff(draft->version, draft->digest, OperatorId("op")).ok());
}

Test(bundle_manager, roll_of_an_older_version_is_refused) {
  TwoOperatorFixture fixture;
  cr_assert(fixture.Roll(0, fixture.second).ok());
  const absl::StatusOr<CurrentBundle> back =
      fixture.fleet.node(0).bundles().Roll(fixture.first, fixture.second, OperatorId("op"));
  cr_assert(absl::IsFailedPrecondition(back.status()));
}

}  // namespace papayalift
