#include <criterion/criterion.h>

#include "leader/crash_scenario.h"
#include "leader/idle_job_check.h"

namespace papayalift {

namespace {

constexpr int kMinions = 60;
constexpr int kJobs = 400;
constexpr int kNarrowStep = 6;
constexpr int kWideStep = 33;
constexpr Milliseconds kTaskTime{6'000};
/// Each callback of the leader takes that long.
constexpr Milliseconds kCallbackTime{4};
constexpr Milliseconds kSubmitInterval{20};
/// That time after the last job was submitted (`finish_s`), no job may stand beside room for it.
constexpr Milliseconds kFinishTime{14'000};
/// What IdleJobCheck excuses after a fault.
constexpr Milliseconds kCalmBefore{4'000};
constexpr Milliseconds kTimeToFinish{60'000};

/// One slow leader of a fleet of which under half is in use, whatever is started.
struct StandingFixture : CrashScenario {
  StandingFixture() : CrashScenario(kMinions) {
    Run(Milliseconds(1'000));
    cluster.leader()->SlowDown(kCallbackTime);
  }

  void Submit(int number, int tasks) {
    const JobId id = MakeJobId(number);
    const RegisteredJob job = MakeJob(tasks, 0, kTaskTime);
    cr_assert(cluster.Submit(id, job, Priority(2)).kind == JobReplyKind::kAccepted);
    check.Watch(id, job.work);
    cluster.Run(kSubmitInterval);
  }

  IdleJobCheck check{cluster.timers, cluster.minions};
};

}  // namespace

// Each turn of a standing job began one task, and its next turn came too late (issue 65).
Test(slow_leader_standing, steps_with_room_do_not_stand_after_the_load_has_ended) {
  StandingFixture fixture;
  for (int number = 1; number <= kJobs; ++number) {
    fixture.Submit(number, number == kJobs / 2 ? kWideStep : kNarrowStep);
  }
  const Milliseconds asked_at = fixture.cluster.timers.clock().Now() + kFinishTime;
  fixture.check.NoteFault(asked_at - kCalmBefore);
  fixture.Run(kTimeToFinish);
  cr_expect(fixture.check.idle_jobs().empty(), "%zu jobs stood, the longest for %lld ms",
            fixture.check.idle_jobs().size(),
            static_cast<long long>(fixture.check.longest_idle().count()));
}

}  // namespace papayalift
