#include "libraries/node/hold_promises.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "libraries/base/manual_clock.h"
#include "membership/hold_model.h"

namespace papayalift {

namespace {

/// A node that started long ago and has no store, and a peer that has just given its promise.
struct PromiseFixture {
  PromiseFixture() {
    clock.Advance(Milliseconds(10'000));
    peer.heartbeat.hold = HoldPromise::kGiven;
    peer.heartbeat.zones = ZoneEpoch(3);
    peer.written_after = clock.Now();
  }

  bool HoldsAllPromises(const std::vector<std::optional<PeerState>>& peer_states) {
    return promises.HoldsAllPromises(peer_states, KnownChanges{ZoneEpoch(3), BundleVersion(1)});
  }

  ManualClock clock;
  StoreProgress progress{clock};
  HoldPromises promises{clock, progress};
  PeerState peer;
};

}  // namespace

Test(hold_promises, any_interleaving_admits_calls_only_without_unseen_changes) {
  int admissions = 0;
  cr_assert(rc::check([&admissions] {
    constexpr int kSteps = 300;
    HoldModel model;
    for (int step = 0; step < kSteps; ++step) {
      model.Step();
    }
    admissions += model.admissions();
  }));
  cr_assert_gt(admissions, 100, "too few cases admitted calls under promises");
}

Test(hold_promises, holds_all_with_one_peer_silent_or_without_promise_does_not_hold) {
  PromiseFixture fixture;
  cr_assert(fixture.HoldsAllPromises({fixture.peer}));
  cr_assert_not(fixture.HoldsAllPromises({fixture.peer, std::nullopt}));
  fixture.peer.heartbeat.hold = HoldPromise::kNone;
  cr_assert_not(fixture.HoldsAllPromises({fixture.peer}));
}

Test(hold_promises, holds_all_where_a_peer_knows_a_newer_change_does_not_hold) {
  PromiseFixture fixture;
  fixture.peer.heartbeat.zones = ZoneEpoch(4);
  cr_assert_not(fixture.HoldsAllPromises({fixture.peer}));
}

Test(hold_promises, change_after_a_promise_waits_until_it_expires) {
  PromiseFixture fixture;
  cr_assert(fixture.promises.TryGivePromise() == HoldPromise::kGiven);
  fixture.clock.Advance(Milliseconds(1'499));
  cr_assert_not(fixture.promises.TryBeginChange());
  fixture.clock.Advance(Milliseconds(1));
  cr_assert(fixture.promises.TryBeginChange());
}

Test(hold_promises, give_during_a_change_or_after_an_unclear_one_gives_none) {
  PromiseFixture fixture;
  cr_assert(fixture.promises.TryBeginChange());
  cr_assert(fixture.promises.TryGivePromise() == HoldPromise::kNone);
  fixture.promises.EndChange(ChangeResult::kUnclear, KnownChanges{});
  cr_assert(fixture.promises.TryGivePromise() == HoldPromise::kNone);
  fixture.progress.RecordAnswer(fixture.clock.Now() + Milliseconds(1), Revision(9));
  fixture.progress.RecordFailure();
  fixture.progress.ConfirmedAt(Revision(8));
  cr_assert(fixture.promises.TryGivePromise() == HoldPromise::kNone,
            "read, but not yet followed by the copy");
  fixture.progress.ConfirmedAt(Revision(9));
  cr_assert(fixture.promises.TryGivePromise() == HoldPromise::kGiven);
}

Test(hold_promises, change_after_a_restart_waits_until_earlier_promises_expire) {
  ManualClock clock;
  StoreProgress progress(clock);
  HoldPromises promises(clock, progress);
  cr_assert_not(promises.TryBeginChange());
  clock.Advance(Milliseconds(1'500));
  cr_assert(promises.TryBeginChange());
}

}  // namespace papayalift
