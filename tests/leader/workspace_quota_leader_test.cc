#include <criterion/criterion.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

constexpr Milliseconds kStep{20};
constexpr Milliseconds kLong{120'000};
constexpr int kMinions = 4;
constexpr std::int64_t kAcceleratorsPerTask = 4;

RegisteredJob MakeTasks(int count, Milliseconds duration) {
  RegisteredJob job;
  job.work.steps = {MakeStep(count, kAcceleratorsPerTask)};
  job.work.steps[0].estimate = duration;
  job.duration = duration;
  return job;
}

RegisteredJob MakeGang(int count, Milliseconds duration) {
  RegisteredJob job = MakeTasks(count, duration);
  job.work.steps[0].kind = WorkStepKind::kGang;
  return job;
}

/// Two nodes and four minions. Watches what the only workspace has running.
class QuotaCluster : public TestCluster {
 public:
  explicit QuotaCluster(std::int64_t quota) : TestCluster(2, kMinions) {
    SetQuota(quota);
    Run(Milliseconds(500));
  }

  void SetQuota(std::int64_t quota) { PutManifestWithQuota(++m_version, quota); }

  /// Advances the time and remembers the most accelerators that were in use.
  void Watch(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += kStep) {
      Run(kStep);
      m_most_running = std::max(m_most_running, RunningAccelerators());
    }
  }

  std::int64_t RunningAccelerators() {
    std::int64_t running = 0;
    for (const MinionRoom& room : minions.Rooms()) {
      running += room.taken.accelerators;
    }
    return running;
  }

  std::int64_t TakeMostRunning() { return std::exchange(m_most_running, 0); }

  void KillLeader() {
    const std::size_t index = leader_index();
    if (index < size()) {
      Kill(index);
      Restart(index);
    }
  }

 private:
  int m_version = 1;
  std::int64_t m_most_running = 0;
};

}  // namespace

Test(workspace_quota_leader, tasks_beyond_the_quota_run_one_after_another) {
  QuotaCluster cluster(8);
  cluster.Submit(MakeJobId(1), MakeTasks(6, Milliseconds(1'000)));
  cluster.Watch(Milliseconds(6'000));
  cr_assert_eq(cluster.TakeMostRunning(), 8);
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
}

// Guards against a leader that counts only runs that have reported in its own term.
Test(workspace_quota_leader, next_leader_counts_runs_that_the_former_one_started) {
  QuotaCluster cluster(8);
  cluster.Submit(MakeJobId(1), MakeTasks(6, kLong));
  cluster.Watch(Milliseconds(1'000));
  cluster.minions.SetReachable(MinionId("m0"), false);
  cluster.KillLeader();
  cluster.Watch(Milliseconds(6'000));
  cr_assert_eq(cluster.TakeMostRunning(), 8);
}

// Guards against room in the quota for starts without an answer, which may be carried out later.
Test(workspace_quota_leader, starts_that_are_carried_out_late_stay_within_the_quota) {
  QuotaCluster cluster(8);
  for (int number = 0; number < kMinions; ++number) {
    cluster.minions.FailNextOrders(MinionId(fmt::format("m{}", number)),
                                   {OrderFault::kLate, OrderFault::kAnswerLost, OrderFault::kLate});
  }
  cluster.Submit(MakeJobId(1), MakeTasks(8, Milliseconds(3'000)));
  cluster.Watch(Milliseconds(20'000));
  cr_assert_leq(cluster.TakeMostRunning(), 8);
}

Test(workspace_quota_leader, lowered_quota_starts_nothing_until_enough_has_ended) {
  QuotaCluster cluster(16);
  cluster.Submit(MakeJobId(1), MakeTasks(4, Milliseconds(3'000)));
  cluster.Watch(Milliseconds(1'000));
  cr_assert_eq(cluster.TakeMostRunning(), 16);
  cluster.SetQuota(4);
  cluster.Submit(MakeJobId(2), MakeTasks(2, Milliseconds(1'000)));
  cluster.Watch(Milliseconds(1'000));
  cr_assert_eq(cluster.minions.starts(MakeJobId(2)), 0);
  cluster.Watch(Milliseconds(3'500));
  cr_assert_gt(cluster.minions.starts(MakeJobId(2)), 0);
  cluster.TakeMostRunning();
  cluster.Watch(Milliseconds(3'000));
  cr_assert_leq(cluster.TakeMostRunning(), 4);
  cr_assert(cluster.StateOf(MakeJobId(2)) == WorkState::kDone);
}

Test(workspace_quota_leader, guaranteed_job_starts_in_time_though_borrowed_work_fills_the_quota) {
  QuotaCluster cluster(16);
  cluster.Submit(MakeJobId(1), MakeTasks(4, kLong), Priority(2));
  cluster.Watch(Milliseconds(1'000));
  cluster.Submit(MakeJobId(2), MakeGang(2, Milliseconds(1'000)), Priority(0));
  constexpr Milliseconds kReclaimBound{2'700};
  cluster.Watch(kReclaimBound);
  cr_assert_eq(cluster.minions.starts(MakeJobId(2)), 2);
  cr_assert_leq(cluster.TakeMostRunning(), 16);
}

// Guards against a job that is accepted and then waits for ever.
Test(workspace_quota_leader, gang_wider_than_the_quota_is_refused_at_once) {
  QuotaCluster cluster(8);
  const JobReply reply = cluster.Submit(MakeJobId(1), MakeGang(3, Milliseconds(1'000)));
  cr_assert(reply.kind == JobReplyKind::kExceedsQuota);
  cr_assert_not(reply.detail.empty());
  cluster.Watch(Milliseconds(2'000));
  cr_assert_eq(cluster.minions.starts(), 0);
}

// Guards against a refusal that denies a job which an earlier send of the request has stored.
Test(workspace_quota_leader, repeated_submission_of_a_stored_job_is_accepted_under_a_lower_quota) {
  QuotaCluster cluster(16);
  const RegisteredJob gang = MakeGang(4, kLong);
  cr_assert(cluster.Submit(MakeJobId(1), gang).kind == JobReplyKind::kAccepted);
  cluster.SetQuota(8);
  cluster.Watch(Milliseconds(1'000));
  cr_assert(cluster.Submit(MakeJobId(1), gang).kind == JobReplyKind::kAccepted);
}

Test(workspace_quota_leader, any_faults_leave_the_workspace_within_the_highest_quota) {
  cr_assert(rc::check("no more runs than the higher of the last two quotas allows", [] {
    std::int64_t former = 8;
    std::int64_t quota = 8;
    QuotaCluster cluster(quota);
    const std::vector<int> actions =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6 * kMinions));
    int jobs = 0;
    for (const int action : actions) {
      const MinionId minion(fmt::format("m{}", action / 6));
      switch (action % 6) {
        case 0:
          cluster.Submit(MakeJobId(++jobs), MakeTasks(1 + action / 6, Milliseconds(2'500)));
          break;
        case 1:
          cluster.Submit(MakeJobId(++jobs), MakeGang(2, Milliseconds(1'500)), Priority(0));
          break;
        case 2:
          cluster.KillLeader();
          break;
        case 3:
          cluster.minions.FailNextOrders(minion, {OrderFault::kLate, OrderFault::kAnswerLost});
          break;
        case 4:
          cluster.minions.Restart(minion);
          break;
        default:
          // NOTE: what runs under a former quota may go on, so only raises are played.
          former = quota;
          quota = std::min<std::int64_t>(quota + kAcceleratorsPerTask, 16);
          cluster.SetQuota(quota);
          break;
      }
      cluster.Watch(Milliseconds(400));
      RC_ASSERT(cluster.TakeMostRunning() <= std::max(quota, former));
    }
    cluster.Watch(Milliseconds(5'000));
    RC_ASSERT(cluster.TakeMostRunning() <= quota);
  }));
}

}  // namespace papayalift
