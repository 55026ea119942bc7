#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

/// One minion, whose process starts anew unnoticed while ends of the former one are being stored:
/// their acknowledgement is sent to the new process, which counts its ends anew.
struct AcknowledgementCluster : TestCluster {
  AcknowledgementCluster() : TestCluster(1, 1) { Run(Milliseconds(12'000)); }

  void SubmitTasks(const JobId& job_id, int count, Milliseconds duration) {
    RegisteredJob job;
    job.work.steps = {MakeStep(count, 1)};
    job.duration = duration;
    Submit(job_id, job);
  }
  /// Tasks of the first job end at the process that starts anew; tasks of the second one start at
  /// the next process, `submitted_after` the restart.
  void Play(Milliseconds submitted_after, Milliseconds duration) {
    SubmitTasks(MakeJobId(1), 4, Milliseconds(1'000));
    while (minions.RunningOn(MakeJobId(1)).size() < 4) {
      Run(Milliseconds(1));
    }
    Run(Milliseconds(990));
    node(0).store().SetNetworkDelay(Milliseconds(100));
    Run(Milliseconds(40));
    minions.SetCutOffFromStore(id, true);
    minions.Restart(id);
    minions.FailNextOrders(id, start_faults);
    minions.FailNextHolds(id, hold_faults);
    Run(submitted_after);
    node(0).store().SetNetworkDelay(Milliseconds(2));
    SubmitTasks(MakeJobId(2), 1, duration);
    Run(Milliseconds(30'000));
    minions.SetCutOffFromStore(id, false);
    minions.SendHeartbeat(id);
    Run(Milliseconds(10'000));
    cr_expect(StateOf(MakeJobId(2)) == WorkState::kDone);
    for (const std::string& violation : minions.violations()) {
      cr_expect(false, "submitted after %d ms: %s", static_cast<int>(submitted_after.count()),
                violation.c_str());
    }
  }

  const MinionId id{"m0"};
  std::deque<OrderFault> start_faults;
  std::deque<OrderFault> hold_faults;
};

}  // namespace

// It was carried out seconds later, when a run had ended there that nobody had heard of.
Test(acknowledged_end, of_a_former_process_forgets_no_end_of_the_next_one_when_late) {
  for (int submitted_after = 0; submitted_after < 300; submitted_after += 10) {
    AcknowledgementCluster cluster;
    cluster.hold_faults = {OrderFault::kLate, OrderFault::kLost, OrderFault::kLost,
                           OrderFault::kLost, OrderFault::kLost};
    cluster.Play(Milliseconds(submitted_after), Milliseconds(1'500));
  }
}

// A start without answer was carried out before it.
Test(acknowledged_end, of_a_former_process_forgets_no_end_of_an_unanswered_start) {
  for (int submitted_after = 0; submitted_after < 300; submitted_after += 10) {
    AcknowledgementCluster cluster;
    cluster.start_faults = {OrderFault::kAnswerLost};
    cluster.Play(Milliseconds(submitted_after), Milliseconds(50));
  }
}

}  // namespace papayalift
