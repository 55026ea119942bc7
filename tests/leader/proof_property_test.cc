// Plays what the proofs of docs/design/platform.md have to withstand: that a run has ended, never
// started or crashed, and that an order meets the process that it was meant for.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

#include "leader/loaded_fleet.h"

namespace papayalift {

namespace {

constexpr int kMinions = 8;
/// So few that most reports are cut.
constexpr std::size_t kEndsPerReport = 2;

enum class ProofAction {
  /// A minion starts anew while it is cut off from the store, so that nothing shows it.
  kRestartUnnoticed,
  kResetCalls,
  kLoseHoldAnswers,
  kDelayHolds,
  kDelayStarts,
  kLoseStartAnswers,
  /// As an outage of the store may.
  kEndAllLeases,
  kCutHolderOff,
  kRestartHolderUnnoticed,
  kSubmitManyTasks,
};
constexpr int kProofActions = static_cast<int>(ProofAction::kSubmitManyTasks) + 1;

struct ProofScenario : LeaseScenario {
  ProofScenario() : LeaseScenario(kMinions) { cluster.minions.SetMaxEndsPerReport(kEndsPerReport); }

  /// One of the minions with runs, or else any.
  MinionId AnyHolder(int choice) const {
    std::vector<MinionId> holders;
    for (int number = 0; number < kMinions; ++number) {
      const MinionId id = cluster.minions.NewestOn(MinionId("m" + std::to_string(number)));
      if (!cluster.minions.TasksOn(id).empty()) {
        holders.push_back(id);
      }
    }
    return holders.empty() ? AnyMinion(choice)
                           : holders[static_cast<std::size_t>(choice) % holders.size()];
  }

  MinionId AnyMinion(int choice) const {
    return cluster.minions.NewestOn(MinionId("m" + std::to_string(choice % kMinions)));
  }

  /// Advances the time until a task of the job runs, at most for 20 s.
  void RunUntilStarted(const JobId& job) {
    constexpr Milliseconds kStep{20};
    for (Milliseconds waited{0}; waited < Milliseconds(20'000); waited += kStep) {
      if (!cluster.minions.RunningOn(job).empty()) {
        return;
      }
      cluster.Run(kStep);
    }
  }

  void RestartUnnoticed(const MinionId& id) {
    cluster.minions.SetCutOffFromStore(id, true);
    cluster.minions.Restart(id);
  }

  void Apply(ProofAction action, int choice) {
    const MinionId id = AnyMinion(choice);
    switch (action) {
      case ProofAction::kRestartUnnoticed:
        RestartUnnoticed(id);
        break;
      case ProofAction::kResetCalls:
        cluster.minions.SetCutOffFromCallers(id, OutageKind::kReset);
        break;
      case ProofAction::kLoseHoldAnswers:
        cluster.minions.FailNextHolds(id, {OrderFault::kAnswerLost, OrderFault::kLost});
        break;
      case ProofAction::kDelayHolds:
        cluster.minions.FailNextHolds(id,
                                      {OrderFault::kLate, OrderFault::kNone, OrderFault::kLate});
        break;
      case ProofAction::kDelayStarts:
        cluster.minions.FailNextOrders(id, {OrderFault::kLate});
        break;
      case ProofAction::kLoseStartAnswers:
        cluster.minions.FailNextOrders(id, {OrderFault::kAnswerLost});
        break;
      case ProofAction::kEndAllLeases:
        cluster.store.EndAllLeases();
        break;
      case ProofAction::kCutHolderOff:
        cluster.minions.SetCutOffFromCallers(AnyHolder(choice), OutageKind::kSilent);
        break;
      case ProofAction::kRestartHolderUnnoticed:
        RestartUnnoticed(AnyHolder(choice));
        break;
      case ProofAction::kSubmitManyTasks: {
        RegisteredJob job;
        job.work.steps = {MakeStep(40, 0)};
        job.work.steps[0].needs = Resources{100, 100, 0};
        job.duration = Milliseconds(300 + choice % 4'000);
        job.work.steps[0].estimate = job.duration;
        Submit(job);
        break;
      }
    }
  }
};

/// Any action of the lease scenario, or one of the above.
struct AnyAction {
  int number = 0;
  std::optional<ProofAction> action;
};

std::vector<AnyAction> AnyActions() {
  std::vector<AnyAction> actions(static_cast<std::size_t>(AnyFrom(2, 14)));
  for (AnyAction& any : actions) {
    any.number = AnyFrom(0, kLeaseActions * kLeaseParameters);
    if (AnyFrom(0, 2) == 0) {
      any.action = static_cast<ProofAction>(AnyFrom(0, kProofActions));
    }
  }
  return actions;
}

}  // namespace

Test(proof, any_sequence_of_restarts_cuts_and_late_orders_starts_nothing_twice) {
  const bool held = rc::check("restarts, cuts, late orders, ended leases, changes of leader", [] {
    ProofScenario scenario;
    scenario.cluster.Run(AnyTime(500, 15'000));
    for (const AnyAction& any : AnyActions()) {
      if (any.action.has_value()) {
        scenario.Apply(*any.action, any.number);
        scenario.Run(AnyTime(1, 1'500));
      } else {
        static_cast<LeaseScenario&>(scenario).Apply(any.number);
      }
    }
    scenario.Settle();
    scenario.Check();
  });
  cr_assert(held);
}

// A task works on a process that the leader has not heard of, and then its minion is cut off.
Test(proof, any_unnoticed_restart_before_a_start_and_a_cut_starts_nothing_twice) {
  const bool held = rc::check("a start meets a process that nothing has shown", [] {
    ProofScenario scenario;
    scenario.cluster.Run(AnyTime(500, 15'000));
    for (int number = 0; number < kMinions; ++number) {
      const MinionId id("m" + std::to_string(number));
      scenario.RestartUnnoticed(id);
      scenario.cluster.minions.FailNextOrders(
          id, {*rc::gen::element(OrderFault::kNone, OrderFault::kAnswerLost, OrderFault::kLate)});
      scenario.cluster.minions.FailNextHolds(
          id, {*rc::gen::element(OrderFault::kNone, OrderFault::kAnswerLost, OrderFault::kLost)});
    }
    scenario.cluster.Run(AnyTime(0, 300));
    scenario.Submit(MakeLongJob(WorkStepKind::kIndependentTasks, AnyFrom(1, 4)));
    scenario.cluster.Run(AnyTime(0, 3'000));
    for (int cuts = AnyFrom(1, 4); cuts > 0; --cuts) {
      const MinionId id = scenario.AnyHolder(AnyFrom(0, kMinions));
      scenario.cluster.minions.SetCutOffFromCallers(
          id, *rc::gen::element(OutageKind::kSilent, OutageKind::kReset, OutageKind::kRefused));
      scenario.cluster.Run(AnyTime(0, 3'000));
    }
    if (AnyFrom(0, 2) == 0) {
      scenario.EndLeader(static_cast<LeaderEnd>(AnyFrom(0, kLeaderEnds)), AnyTime(1'000, 4'000));
    }
    scenario.cluster.Run(AnyTime(5'000, 14'000));
    scenario.Settle();
    scenario.Check();
  });
  cr_assert(held);
}

Test(proof, any_sequence_of_cuts_without_the_end_of_a_process_fails_no_job) {
  const bool held = rc::check("cuts of the minions that work, and changes of leader", [] {
    ProofScenario scenario;
    scenario.Submit(MakeLongJob(
        AnyFrom(0, 2) == 0 ? WorkStepKind::kGang : WorkStepKind::kIndependentTasks, AnyFrom(1, 3)));
    const JobId job = MakeJobId(1);
    for (int cuts = AnyFrom(1, 12); cuts > 0; --cuts) {
      scenario.RunUntilStarted(job);
      scenario.cluster.Run(AnyTime(10, 1'300));
      const MinionId id = scenario.AnyHolder(AnyFrom(0, kMinions));
      scenario.cluster.minions.SetCutOffFromStore(id, AnyFrom(0, 4) == 0);
      scenario.cluster.minions.SetCutOffFromCallers(
          id, *rc::gen::element(OutageKind::kSilent, OutageKind::kReset, OutageKind::kRefused));
      if (AnyFrom(0, 4) == 0) {
        scenario.EndLeader(static_cast<LeaderEnd>(AnyFrom(0, kLeaderEnds)), AnyTime(1'000, 4'000));
      }
      scenario.cluster.timers.After(AnyTime(3'000, 9'000), [&scenario, id] {
        scenario.cluster.minions.SetCutOffFromStore(id, false);
        scenario.cluster.minions.SetCutOffFromCallers(id, std::nullopt);
      });
      scenario.cluster.Run(AnyTime(3'000, 7'000));
    }
    scenario.Settle();
    scenario.Check();
  });
  cr_assert(held);
}

// More ends than a report lists, while nobody can acknowledge them.
Test(proof, any_ends_that_pile_up_start_no_done_task_again) {
  const bool held = rc::check("leaders, minions and the store are out of reach as tasks end", [] {
    ProofScenario scenario;
    scenario.cluster.minions.SetMaxEndsPerReport(static_cast<std::size_t>(AnyFrom(1, 6)));
    for (int jobs = AnyFrom(1, 4); jobs > 0; --jobs) {
      scenario.Apply(ProofAction::kSubmitManyTasks, AnyFrom(0, 4'000));
    }
    scenario.cluster.Run(AnyTime(0, 4'000));
    for (int faults = AnyFrom(1, 4); faults > 0; --faults) {
      const int fault = AnyFrom(0, 3);
      if (fault == 0) {
        scenario.EndLeader(static_cast<LeaderEnd>(AnyFrom(0, kLeaderEnds)), AnyTime(1'000, 4'000));
      } else if (fault == 1) {
        static_cast<LeaseScenario&>(scenario).Apply(static_cast<int>(LeaseAction::kLoseStore) +
                                                    kLeaseActions * AnyFrom(0, 2'000));
      } else {
        scenario.Apply(ProofAction::kCutHolderOff, AnyFrom(0, kMinions));
      }
      scenario.cluster.Run(AnyTime(0, 2'500));
    }
    scenario.Settle();
    scenario.Check();
  });
  cr_assert(held);
}

}  // namespace papayalift
