#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <deque>

#include "leader/loaded_fleet.h"

namespace papayalift {

namespace {

std::deque<OrderFault> AnyFaults(int most) {
  std::deque<OrderFault> faults(static_cast<std::size_t>(AnyFrom(0, most + 1)));
  for (OrderFault& fault : faults) {
    fault = *rc::gen::element(OrderFault::kNone, OrderFault::kAnswerLost, OrderFault::kLate,
                              OrderFault::kLost);
  }
  return faults;
}

/// Short tasks end on all minions again and again, while processes start anew unnoticed.
struct EndingFleet : LeaseScenario {
  static constexpr int kMinions = 2;

  EndingFleet() : LeaseScenario(kMinions) {}

  void SubmitShortTasks() {
    RegisteredJob job;
    job.work.steps = {MakeStep(AnyFrom(1, 9), 1)};
    job.duration = AnyTime(20, 1'500);
    job.work.steps[0].estimate = job.duration;
    Submit(job);
  }

  void RestartUnnoticed(const MinionId& id) {
    cluster.minions.SetCutOffFromStore(id, true);
    cluster.minions.Restart(id);
    cluster.minions.FailNextOrders(id, AnyFaults(3));
    cluster.minions.FailNextHolds(id, AnyFaults(6));
  }

  void SlowStoreDown() {
    const Milliseconds delay = AnyTime(2, 200);
    for (std::size_t index = 0; index < cluster.size(); ++index) {
      if (cluster.is_alive(index)) {
        cluster.node(index).store().SetNetworkDelay(delay);
      }
    }
  }
};

}  // namespace

// What acknowledges the ends of a process must not reach the next one under its id (issue 62).
Test(acknowledged_end_property, any_unnoticed_restart_beside_ends_forgets_no_done_task) {
  const bool held = rc::check("processes start anew while ends are stored and acknowledged", [] {
    EndingFleet fleet;
    fleet.cluster.Run(AnyTime(500, 13'000));
    for (int rounds = AnyFrom(1, 4); rounds > 0; --rounds) {
      fleet.SubmitShortTasks();
      fleet.SlowStoreDown();
      fleet.cluster.Run(AnyTime(20, 1'800));
      for (int number = 0; number < EndingFleet::kMinions; ++number) {
        fleet.RestartUnnoticed(MinionId("m" + std::to_string(number)));
      }
      fleet.cluster.Run(AnyTime(0, 100));
      fleet.SubmitShortTasks();
      if (AnyFrom(0, 4) == 0) {
        fleet.EndLeader(static_cast<LeaderEnd>(AnyFrom(0, kLeaderEnds)), AnyTime(1'000, 4'000));
      }
      fleet.cluster.Run(AnyTime(100, 8'000));
    }
    fleet.Settle();
    // NOTE: a job may fail: processes that end again and again speak against its tasks.
    for (const std::string& violation : fleet.cluster.minions.violations()) {
      RC_FAIL(violation);
    }
  });
  cr_assert(held);
}

}  // namespace papayalift
