#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

/// One node and six minions, up for longer than the longest lease: a time on a minion's clock is
/// far ahead for a process that starts now. One job that fills a minion.
struct RestartCluster : TestCluster {
  RestartCluster() : TestCluster(1, 6) { Run(Milliseconds(12'000)); }

  void SubmitJob() { SubmitTasks(id, 1, 8); }
  void SubmitTasks(const JobId& job_id, int count, std::int64_t accelerators) {
    RegisteredJob job;
    job.work.steps = {MakeStep(count, accelerators)};
    job.duration = Milliseconds(20'000);
    Submit(job_id, job);
  }
  MinionId Holder() {
    cr_assert_eq(minions.RunningOn(id).size(), 1);
    return minions.RunningOn(id).front();
  }
  void CutOff(const MinionId& minion, Milliseconds time) {
    minions.SetReachable(minion, false);
    Run(time);
    minions.SetReachable(minion, true);
  }
  void RunUntilStarted() {
    while (minions.RunningOn(id).empty()) {
      Run(Milliseconds(1));
    }
  }
  /// Minions that were cut off from the store write their entries again.
  void ReconnectToStore() {
    for (int number = 0; number < 6; ++number) {
      const MinionId minion("m" + std::to_string(number));
      minions.SetCutOffFromStore(minion, false);
      minions.SendHeartbeat(minion);
    }
  }
  void ExpectDoneWithoutViolations() {
    Run(Milliseconds(30'000));
    cr_expect(StateOf(id) == WorkState::kDone);
    for (const std::string& violation : minions.violations()) {
      cr_expect(false, "%s", violation.c_str());
    }
  }

  const JobId id = MakeJobId(1);
};

}  // namespace

// A hold named a lease by the clock of the process that was gone (review/3).
Test(restarted_minion, cut_off_after_its_restart_runs_no_task_that_is_started_elsewhere) {
  for (const std::int64_t cut_after : {1'600, 2'000, 2'600, 3'300}) {
    RestartCluster cluster;
    cluster.SubmitJob();
    cluster.Run(Milliseconds(2'000));
    const MinionId holder = cluster.Holder();
    cluster.minions.Crash(holder, MinionOutage{Milliseconds(1'000)});
    cluster.Run(Milliseconds(1'000 + cut_after));
    cluster.CutOff(cluster.Holder(), Milliseconds(9'500));
    cluster.ExpectDoneWithoutViolations();
  }
}

// A start named a lease by the clock of a process that had ended while it had no work.
Test(restarted_minion, that_gets_a_start_meant_for_its_former_process_runs_no_task_twice) {
  RestartCluster cluster;
  for (int number = 0; number < 6; ++number) {
    const MinionId minion("m" + std::to_string(number));
    cluster.minions.SetCutOffFromStore(minion, true);
    cluster.minions.Restart(minion);
  }
  cluster.SubmitJob();
  cluster.Run(Milliseconds(500));
  cluster.CutOff(cluster.Holder(), Milliseconds(9'000));
  cluster.ExpectDoneWithoutViolations();
}

// The answer to the start came from another process than the one it was meant for, and the next
// report was lost (review/8).
Test(restarted_minion, that_is_cut_off_before_its_first_report_runs_no_task_twice) {
  for (const int cut_after : {5, 20, 100, 1'000, 1'900}) {
    RestartCluster cluster;
    for (int number = 0; number < 6; ++number) {
      const MinionId minion("m" + std::to_string(number));
      cluster.minions.SetCutOffFromStore(minion, true);
      cluster.minions.Restart(minion);
      cluster.minions.FailNextHolds(minion, {OrderFault::kAnswerLost});
    }
    cluster.SubmitJob();
    cluster.RunUntilStarted();
    cluster.Run(Milliseconds(cut_after));
    cluster.CutOff(cluster.Holder(), Milliseconds(9'000));
    cluster.ExpectDoneWithoutViolations();
  }
}

// The start itself stayed without an answer.
Test(restarted_minion, that_takes_a_start_and_is_cut_off_runs_no_task_twice) {
  RestartCluster cluster;
  for (int number = 0; number < 6; ++number) {
    const MinionId minion("m" + std::to_string(number));
    cluster.minions.SetCutOffFromStore(minion, true);
    cluster.minions.Restart(minion);
    cluster.minions.FailNextOrders(minion, {OrderFault::kAnswerLost});
  }
  cluster.SubmitJob();
  while (cluster.minions.RunningOn(cluster.id).empty()) {
    cluster.Run(Milliseconds(1));
  }
  cluster.CutOff(cluster.Holder(), Milliseconds(9'000));
  cluster.ExpectDoneWithoutViolations();
}

// A hold meant for the former process was carried out late, and extended the lease of a run that
// was started after it (review/8, VARIANT=late-hold).
Test(restarted_minion, that_carries_out_a_late_order_runs_no_task_twice) {
  for (const OrderFault fault : {OrderFault::kLate, OrderFault::kAnswerLost}) {
    for (const int submitted_after : {500, 1'500, 2'500}) {
      RestartCluster cluster;
      for (int number = 0; number < 6; ++number) {
        const MinionId minion("m" + std::to_string(number));
        cluster.minions.Crash(minion, MinionOutage{Milliseconds(1'000)});
      }
      cluster.Run(Milliseconds(1'000));
      for (int number = 0; number < 6; ++number) {
        cluster.minions.FailNextHolds(MinionId("m" + std::to_string(number)), {fault});
      }
      cluster.Run(Milliseconds(submitted_after));
      cluster.SubmitJob();
      cluster.Run(Milliseconds(3'200 - submitted_after));
      cluster.CutOff(cluster.Holder(), Milliseconds(9'000));
      cluster.ExpectDoneWithoutViolations();
    }
  }
}

// A report was awaited from the process that had crashed, and the new one's clock showed more than
// the time since the last report (issue 68).
Test(restarted_minion, that_takes_a_start_while_its_crash_is_not_heard_of_runs_no_task_twice) {
  for (int second = 0; second < 12; ++second) {
    RestartCluster cluster;
    cluster.Run(Milliseconds(1'000 * second));
    cluster.SubmitTasks(MakeJobId(2), 6, 5);
    cluster.Run(Milliseconds(2'000));
    for (int number = 0; number < 6; ++number) {
      const MinionId minion("m" + std::to_string(number));
      cluster.minions.SetCutOffFromStore(minion, true);
      cluster.minions.Crash(
          minion, MinionOutage{Milliseconds(600), MinionReturn::kSameId, OutageKind::kSilent});
    }
    cluster.Run(Milliseconds(600));
    cluster.SubmitTasks(cluster.id, 1, 3);
    cluster.RunUntilStarted();
    cluster.Run(Milliseconds(150 * second));
    cluster.CutOff(cluster.Holder(), Milliseconds(9'000));
    cluster.ReconnectToStore();
    cluster.ExpectDoneWithoutViolations();
  }
}

// Only a higher token bars an order meant for the former process, whose lease is as long as can be.
Test(restarted_minion, that_takes_a_late_start_before_late_orders_are_barred_runs_no_task_twice) {
  for (const OutageKind restart : {OutageKind::kSilent, OutageKind::kRefused}) {
    for (const int cut_after : {0, 3, 4, 5, 6, 7, 20, 100, 300, 700}) {
      RestartCluster cluster;
      const bool is_noticed_late = restart == OutageKind::kSilent;
      if (is_noticed_late) {
        cluster.SubmitTasks(MakeJobId(2), 6, 5);
        cluster.Run(Milliseconds(2'000));
      }
      for (int number = 0; number < 6; ++number) {
        const MinionId minion("m" + std::to_string(number));
        cluster.minions.SetCutOffFromStore(minion, true);
        cluster.minions.Crash(minion, MinionOutage{Milliseconds(is_noticed_late ? 600 : 1),
                                                   MinionReturn::kSameId, restart});
      }
      cluster.Run(Milliseconds(601));
      for (int number = 0; number < 6; ++number) {
        cluster.minions.FailNextOrders(MinionId("m" + std::to_string(number)),
                                       {OrderFault::kNone, OrderFault::kLate});
      }
      cluster.SubmitTasks(cluster.id, 3, 1);
      cluster.RunUntilStarted();
      cluster.Run(Milliseconds(cut_after));
      const MinionId holder = cluster.minions.RunningOn(cluster.id).front();
      cluster.minions.SetReachable(holder, false);
      cluster.ReconnectToStore();
      cluster.Run(Milliseconds(14'000));
      cluster.minions.SetReachable(holder, true);
      cluster.Run(Milliseconds(30'000));
      cluster.ExpectDoneWithoutViolations();
    }
  }
}

// Minions whose registration was not heard of yet were called again without a pause (issue 68).
Test(restarted_minion, that_is_idle_and_not_registered_yet_is_called_at_intervals) {
  constexpr std::int64_t kRetryDelayMs = 300;
  constexpr std::int64_t kWatchedMs = 3'000;
  RestartCluster cluster;
  for (int number = 0; number < 6; ++number) {
    const MinionId minion("m" + std::to_string(number));
    cluster.minions.SetCutOffFromStore(minion, true);
    cluster.minions.Restart(minion);
  }
  RegisteredJob job;
  job.work.steps = {MakeStep(6, 8)};
  job.duration = Milliseconds(100);
  cluster.Submit(cluster.id, job);
  cluster.Run(Milliseconds(2'000));
  const int before = cluster.node(0).minions().holds();
  cluster.Run(Milliseconds(kWatchedMs));
  cr_expect_leq(cluster.node(0).minions().holds() - before, 6 * (kWatchedMs / kRetryDelayMs + 1));
}

// What a minion that answers only holds for the lease that was named to it must not wait longer.
Test(restarted_minion, that_is_gone_for_good_gives_its_task_up_within_the_longest_lease) {
  RestartCluster cluster;
  cluster.SubmitJob();
  cluster.Run(Milliseconds(2'000));
  const MinionId holder = cluster.Holder();
  cluster.minions.Crash(holder, MinionOutage{Milliseconds(1'000)});
  cluster.Run(Milliseconds(2'600));
  MinionOutage for_good;
  for_good.duration = Milliseconds(600'000);
  cluster.minions.Crash(cluster.Holder(), for_good);
  cluster.Run(Milliseconds(10'800));
  cr_assert_eq(cluster.minions.RunningOn(cluster.id).size(), 1);
  cluster.ExpectDoneWithoutViolations();
}

}  // namespace papayalift
