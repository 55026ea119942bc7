#include "libraries/leader/run_supervisor.h"

#include <criterion/criterion.h>

#include "leader/fake_minion_port.h"
#include "leader/virtual_timers.h"
#include "libraries/log/json_log_sink.h"

namespace papayalift {

namespace {

/// A supervisor with one minion that has reported, and one run whose placement is stored.
struct SupervisorFixture {
  SupervisorFixture() {
    DisableLogging();
    timers.Run(Milliseconds(5'000));
    fleet.Add(id, RackId("r0"), Resources{8'000, 8'000, 8});
    TrackedMinion& minion = state.minions[id];
    minion.id = id;
    minion.has_reported = true;
    port.Hold(MinionAddress{id, ""}, HoldOrder{}, [this, &minion](const HoldAnswer& answer) {
      minion.incarnation = answer.report.incarnation;
      minion.clock = answer.report.clock;
      minion.clock_read_at = timers.clock().Now();
      minion.process_seen_at = timers.clock().Now();
    });
    timers.Run(Milliseconds(10));
    run().task = task;
    run().attempt = AttemptNumber(1);
    run().minion = id;
    run().incarnation = minion.incarnation;
    state.may_grant_leases = true;
    supervisor = std::make_shared<RunSupervisor>(
        timers, port, state, SupervisorSettings{}, [this] { return confirmed_at; },
        SupervisorCallbacks{
            [](const TrackedRun&) { return std::optional<std::string>(); },
            [](const MinionId&, const EndedRun&) {},
            [this](const TrackedRun&, RunLoss loss, const std::string&) { losses.push_back(loss); },
            [](const TrackedRun&) {}, [](TrackedRun&, const ActiveRun&) {}, [] {},
            [](const MinionId&) { return Milliseconds(0); }, [] {}, [](const MinionId&) {},
            [](const MinionId&) {}, [] {}});
  }

  TrackedRun& run() { return state.minions[id].runs[task]; }
  void StartWithTermAge(Milliseconds age) {
    confirmed_at = timers.clock().Now() - age;
    supervisor->Start(run(), "", "");
  }

  const MinionId id{"m0"};
  const TaskName task{JobId("00000000000000aa"), 0, 0, 0};
  VirtualTimers timers;
  FleetStore store{timers};
  FleetMinions fleet{timers, store};
  FakeMinionPort port{timers, fleet};
  LeaderState state;
  Milliseconds confirmed_at{0};
  std::vector<RunLoss> losses;
  std::shared_ptr<RunSupervisor> supervisor;
};

}  // namespace

Test(run_supervisor, start_under_a_term_confirmed_lately_is_sent) {
  SupervisorFixture fixture;
  fixture.StartWithTermAge(Milliseconds(1'000));
  cr_assert_eq(fixture.port.starts(), 1);
  cr_assert(fixture.losses.empty());
}

// A process that was paused for seconds between the write of a placement and its order must not act
// on the term that it held before.
Test(run_supervisor, start_under_a_term_not_confirmed_lately_is_not_sent) {
  SupervisorFixture fixture;
  fixture.StartWithTermAge(Milliseconds(3'000));
  cr_assert_eq(fixture.port.starts(), 0);
  cr_assert_eq(fixture.losses.size(), 1);
  cr_assert(fixture.losses[0] == RunLoss::kNeverStarted);
}

Test(run_supervisor, start_is_not_repeated_under_a_term_not_confirmed_lately) {
  SupervisorFixture fixture;
  fixture.fleet.FailNextOrders(fixture.id, {OrderFault::kLost});
  fixture.StartWithTermAge(Milliseconds(900));
  fixture.timers.Run(Milliseconds(3'000));
  cr_assert_eq(fixture.port.starts(), 1);
  // The first order may have been executed, so the run is stopped and never counts as not started.
  cr_assert_eq(fixture.losses.size(), 1);
  cr_assert(fixture.losses[0] == RunLoss::kRunLost);
}

// Its new process took the repeated start, and the next leader went by the record (issue 68).
Test(run_supervisor, start_is_not_repeated_to_a_minion_that_the_lease_record_lists) {
  SupervisorFixture fixture;
  fixture.fleet.FailNextOrders(fixture.id, {OrderFault::kLost});
  fixture.StartWithTermAge(Milliseconds(0));
  fixture.timers.Run(Milliseconds(700));
  fixture.confirmed_at = fixture.timers.clock().Now();
  fixture.state.listed_as_silent.insert(fixture.id);
  fixture.timers.Run(Milliseconds(1'000));
  cr_assert_eq(fixture.port.starts(), 1);
}

// A verdict fell on what had not been read, though its answer lay there (issue 65).
Test(run_supervisor, lease_is_not_taken_as_expired_before_all_that_arrived_by_then_is_heard) {
  SupervisorFixture fixture;
  fixture.StartWithTermAge(Milliseconds(0));
  fixture.timers.Run(Milliseconds(100));
  fixture.fleet.SetReachable(fixture.id, false);
  fixture.timers.SetHeardUntil(fixture.timers.clock().Now() + Milliseconds(2'000));
  fixture.timers.Run(Milliseconds(30'000));
  cr_expect(fixture.losses.empty());
  fixture.timers.SetHeardUntil(std::nullopt);
  fixture.timers.Run(Milliseconds(10));
  cr_expect_eq(fixture.losses.size(), 1);
}

}  // namespace papayalift
