#include "leader/idle_job_check.h"

#include <criterion/criterion.h>

namespace papayalift {

namespace {

const JobId kJob = MakeJobId(1);
constexpr Milliseconds kLong{20'000};

/// Four minions that nobody gives work to, and a job that waits.
struct NoLeader : TestCluster {
  NoLeader() : TestCluster(0) {}

  static WorkSpec Gang(int count) {
    WorkSpec work;
    work.steps = {MakeStep(count, 8)};
    work.steps[0].kind = WorkStepKind::kGang;
    return work;
  }

  /// Starts a task of a whole minion on each of the first minions.
  void Occupy(int count) {
    RegisteredJob job;
    job.work.steps = {MakeStep(count, 8)};
    job.work.steps[0].needs = Resources{8'000, 8'000, 8};
    job.duration = Milliseconds(90'000);
    minions.RegisterJob(MakeJobId(2), job);
    for (int index = 0; index < count; ++index) {
      StartOrder order;
      order.task = TaskName{MakeJobId(2), 0, 0, index};
      order.attempt = AttemptNumber(1);
      const MinionAddress address{MinionId("m" + std::to_string(index)), ""};
      order.lease_until = MinionTime(minions.ClockNow(address.id).value() + 100'000);
      order.token = FencingToken(1);
      minions.Start(address, order, [](const OrderAnswer& /*answer*/) {});
    }
  }

  bool IsFound() const { return check.idle_jobs().contains(kJob); }

  IdleJobCheck check{timers, minions};
};

}  // namespace

Test(idle_job_check, job_that_fits_twice_is_found_after_its_bound) {
  NoLeader cluster;
  cluster.check.Watch(kJob, NoLeader::Gang(2));
  cluster.Run(Milliseconds(6'500));
  cr_assert_not(cluster.IsFound());
  cluster.Run(Milliseconds(1'000));
  cr_assert(cluster.IsFound());
}

Test(idle_job_check, gang_that_does_not_fit_twice_is_not_found) {
  NoLeader cluster;
  cluster.check.Watch(kJob, NoLeader::Gang(3));
  cluster.Run(kLong);
  cr_assert_not(cluster.IsFound());
}

Test(idle_job_check, job_is_found_only_while_under_half_is_in_use) {
  NoLeader cluster;
  cluster.Occupy(2);
  cluster.check.Watch(kJob, NoLeader::Gang(1));
  cluster.Run(Milliseconds(8'000));
  cr_assert_not(cluster.IsFound());
  cluster.minions.Restart(MinionId("m0"));
  cluster.Run(Milliseconds(4'000));
  cr_assert(cluster.IsFound());
}

Test(idle_job_check, job_is_not_found_around_faults) {
  NoLeader cluster;
  cluster.check.Watch(kJob, NoLeader::Gang(2));
  for (int fault = 0; fault < 4; ++fault) {
    cluster.minions.Crash(MinionId("m0"));
    cluster.Run(Milliseconds(9'000));
  }
  cr_assert_not(cluster.IsFound());
}

Test(idle_job_check, step_behind_one_that_is_not_done_is_not_found) {
  NoLeader cluster;
  WorkSpec work;
  work.steps = {MakeStep(1, 8), MakeStep(1, 8)};
  work.steps[1].after = {0};
  work.steps[0].needs = Resources{80'000, 80'000, 80};
  cluster.check.Watch(kJob, work);
  cluster.Run(kLong);
  cr_assert_not(cluster.IsFound());
}

}  // namespace papayalift
