#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

// A run that was given up had ended as done. Its end was heard of while the placement of the next
// attempt was being stored, and discarding that placement made the done task wait again.
Test(late_end, heard_of_while_the_next_attempt_is_stored_keeps_the_task_done) {
  constexpr Milliseconds kStoreDelay{450};
  for (int heard_after = 0; heard_after < 800; heard_after += 50) {
    TestCluster cluster(1, 4);
    cluster.Run(Milliseconds(12'000));
    const JobId id = MakeJobId(1);
    RegisteredJob job;
    job.work.steps = {MakeStep(1, 1), MakeStep(1, 1)};
    job.work.steps[1].after = {0};
    job.duration = Milliseconds(2'500);
    cluster.Submit(id, job);
    cluster.Run(Milliseconds(1'000));
    cr_assert_eq(cluster.minions.RunningOn(id).size(), 1);
    const MinionId holder = cluster.minions.RunningOn(id).front();
    cluster.minions.SetCutOffFromCallers(holder, OutageKind::kRefused);
    cluster.store.Remove("servers/" + holder.text());
    const LeaderSession* const session = cluster.leader()->session();
    const auto attempt = [&] {
      return session->state().jobs.at(id).progress.steps[0].tasks[0].attempt.value();
    };
    while (attempt() == 1) {
      cluster.Run(Milliseconds(1));
      // Lets runs that are due end before the minion's lease does.
      cluster.minions.Rooms();
    }
    // The write of the next placement is sent some milliseconds after the decision.
    cluster.node(0).store().SetNetworkDelay(kStoreDelay);
    cluster.Run(Milliseconds(heard_after));
    // The minion is asked at once when it registers again.
    cluster.minions.SetCutOffFromCallers(holder, std::nullopt);
    cluster.minions.SendHeartbeat(holder);
    cluster.Run(Milliseconds(20'000));
    cr_expect(cluster.StateOf(id) == WorkState::kDone);
    cr_expect_eq(cluster.minions.RecordOf(TaskName{id, 0, 0, 0}).starts, 1, "heard of after %d ms",
                 heard_after);
    for (const std::string& violation : cluster.minions.violations()) {
      cr_expect(false, "heard of after %d ms: %s", heard_after, violation.c_str());
    }
  }
}

}  // namespace papayalift
