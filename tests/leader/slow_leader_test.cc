#include <criterion/criterion.h>

#include "leader/crash_scenario.h"

namespace papayalift {

namespace {

constexpr int kMinions = 60;
constexpr int kTasksPerJob = 24;
/// Each callback of the leader takes that long, so its work for all minions at once takes seconds.
constexpr Milliseconds kCallbackTime{4};
constexpr Milliseconds kTaskTime{2'000};
/// Within that time after it was confirmed, a job inside its workspace's guarantee has begun.
constexpr Milliseconds kReclaimBound{2'900};
const JobId kUrgentJob = MakeJobId(900);

/// One slow leader of minions that nothing disturbs, and more work at once than it can follow.
struct SlowLeaderFixture : CrashScenario {
  SlowLeaderFixture() : CrashScenario(kMinions) {
    cluster.PutManifestOfTwoWorkspaces(2);
    Run(Milliseconds(1'000));
    leader = cluster.leader();
    leader->SlowDown(kCallbackTime);
  }

  void SubmitLoad(int count) {
    for (int number = 1; number <= count; ++number) {
      const JobId id = MakeJobId(number);
      cluster.Submit(id, MakeJob(kTasksPerJob, 1, kTaskTime), Priority(2));
      jobs.push_back(id);
    }
  }

  int Starts() const { return cluster.minions.starts(); }

  std::size_t RunningTasks() const {
    std::size_t running = 0;
    for (const JobId& id : jobs) {
      running += cluster.minions.RunningOn(id).size();
    }
    return running;
  }

  ClusterNode* leader = nullptr;
  std::vector<JobId> jobs;
};

}  // namespace

// Runs on minions that nothing had disturbed were given up, stopped and started anew (issue 65).
Test(slow_leader, undisturbed_minions_start_each_task_once) {
  constexpr int kJobs = 40;
  SlowLeaderFixture fixture;
  fixture.SubmitLoad(kJobs);
  fixture.Run(Milliseconds(120'000));
  cr_expect_eq(fixture.Starts(), kJobs * kTasksPerJob, "%d starts", fixture.Starts());
  for (const JobId& id : fixture.jobs) {
    cr_expect(fixture.cluster.StateOf(id) == WorkState::kDone);
  }
  cr_expect_eq(fixture.cluster.leader(), fixture.leader, "the term was lost");
  cr_expect(fixture.cluster.minions.violations().empty());
}

// A job inside its workspace's guarantee waited behind all that was started before (issue 65).
Test(slow_leader, job_within_guarantee_begins_in_time) {
  SlowLeaderFixture fixture;
  fixture.SubmitLoad(40);
  const RegisteredJob urgent = MakeJob(2, 8, kTaskTime);
  fixture.cluster.minions.RegisterJob(kUrgentJob, urgent);
  cr_assert(fixture.cluster.node(0)
                .Ask(JobRequestKind::kSubmit, "/p0/" + kUrgentJob.text(), "other",
                     EncodeJobBody(urgent.work))
                .kind == JobReplyKind::kAccepted);
  Milliseconds waited{0};
  for (; fixture.cluster.minions.starts(kUrgentJob) < 2 && waited < kMaxTimeToGiveUp;
       waited += kStep) {
    fixture.cluster.Run(kStep);
  }
  cr_expect_leq(waited.count(), kReclaimBound.count(), "begun after %lld ms",
                static_cast<long long>(waited.count()));
}

}  // namespace papayalift
