#include "libraries/node/state_follower.h"

#include <criterion/criterion.h>

#include "node/test_fleet.h"

namespace papayalift {

namespace {

struct FollowerFixture {
  FollowerFixture() { fleet.node(1).Follow(); }

  TestNode& node() { return fleet.node(1); }

  TestFleet fleet{2};
};

}  // namespace

Test(state_follower, watch_broken_resumes_where_it_was) {
  FollowerFixture fixture;
  fixture.node().store().SetReach(StoreReach::kCutOff);
  const JobId job = fixture.fleet.Submit(SpecOf("one", 1, 1));
  fixture.node().Follow();
  cr_assert(fixture.node().state().View()->jobs.empty());
  fixture.node().store().SetReach(StoreReach::kReachable);
  fixture.node().Follow();
  cr_assert(fixture.node().state().View()->jobs.contains(job));
}

Test(state_follower, history_compacted_reads_everything_again) {
  FollowerFixture fixture;
  fixture.fleet.Submit(SpecOf("one", 1, 1));
  const JobId two = fixture.fleet.Submit(SpecOf("two", 1, 1));
  fixture.fleet.store().Compact(fixture.fleet.store().revision());
  fixture.node().Follow();
  fixture.node().Follow();
  const std::shared_ptr<const FleetView> view = fixture.node().state().View();
  cr_assert_eq(view->jobs.size(), 2U);
  cr_assert(view->jobs.contains(two));
  cr_assert(view->bundle != nullptr);
}

Test(state_follower, rolled_bundle_that_cannot_be_read_stops_decisions) {
  FollowerFixture fixture;
  fixture.fleet.SetLive({1});
  fixture.fleet.Roll(SmallerBundleText());
  fixture.fleet.Submit(SpecOf("one", 1, 1));
  // The watch still reports the roll, but reading the bundle fails.
  fixture.node().store().CutOffAfterReads(0);
  fixture.node().Follow();
  fixture.node().store().SetReach(StoreReach::kReachable);
  fixture.node().RunPass();
  cr_assert(fixture.node().state().View()->bundle->version == BundleVersion(1));
  cr_assert_eq(fixture.node().runner().size(), 0U);
  fixture.node().RunCycle();
  cr_assert(fixture.node().state().View()->bundle->version == BundleVersion(2));
  cr_assert_eq(fixture.fleet.worker_pool().starts().size(), 1U);
}

}  // namespace papayalift
