#include "stand_ins/fleet/standstill_meter.h"

#include <criterion/criterion.h>

#include "leader/virtual_timers.h"

namespace papayalift {

namespace {

const JobId kJob("00000000000000a1");
constexpr Resources kWholeMinion{1'000, 1'000, 8};

/// One job of one task, and four minions of which it fills one.
struct StandstillFixture {
  StandstillFixture() {
    for (int number = 0; number < 4; ++number) {
      minions.Add(NumberedMinion(number), RackId("rack-0"), kWholeMinion);
    }
    RegisteredJob job;
    job.duration = Milliseconds(60'000);
    StepSpec step;
    step.count = 1;
    step.needs = kWholeMinion;
    job.work.steps.push_back(step);
    minions.RegisterJob(kJob, job);
    meter.Start();
  }

  static MinionId NumberedMinion(int number) {
    return MinionId("minion-" + std::to_string(number));
  }

  void StartOn(int number, int attempt) {
    StartOrder order;
    order.task = TaskName{kJob, 0, 0, 0};
    order.attempt = AttemptNumber(attempt);
    const MinionId id = NumberedMinion(number);
    order.lease_until = MinionTime(minions.ClockNow(id).value() + 9'000);
    minions.Start(MinionAddress{id, ""}, order, [](const OrderAnswer&) {});
  }

  void LoseMinion(int number) {
    minions.Crash(NumberedMinion(number), MinionOutage{.comes_back = MinionReturn::kNever});
  }

  void ExpectStood(Milliseconds least, Milliseconds most) const {
    const Milliseconds stood = meter.LongestOf(kJob);
    cr_expect(stood >= least && stood <= most, "stood for %lld ms",
              static_cast<long long>(stood.count()));
  }

  VirtualTimers timers;
  FleetStore store{timers};
  FleetMinions minions{timers, store};
  StandstillMeter meter{timers, minions};
};

}  // namespace

Test(standstill_meter, job_that_runs_or_was_not_started_does_not_stand) {
  StandstillFixture fixture;
  fixture.timers.Run(Milliseconds(2'000));
  fixture.StartOn(0, 1);
  fixture.timers.Run(Milliseconds(2'000));
  fixture.ExpectStood(Milliseconds(0), Milliseconds(0));
}

Test(standstill_meter, job_whose_minion_is_gone_stands_until_it_runs_elsewhere) {
  StandstillFixture fixture;
  fixture.StartOn(0, 1);
  fixture.timers.Run(Milliseconds(1'000));
  fixture.LoseMinion(0);
  fixture.timers.Run(Milliseconds(3'000));
  fixture.StartOn(1, 2);
  fixture.timers.Run(Milliseconds(3'000));
  fixture.ExpectStood(Milliseconds(2'800), Milliseconds(3'000));
}

Test(standstill_meter, job_in_an_evacuated_zone_does_not_stand) {
  StandstillFixture fixture;
  fixture.StartOn(0, 1);
  fixture.timers.Run(Milliseconds(1'000));
  fixture.minions.SetEvacuatedSince(Milliseconds(1'000));
  fixture.LoseMinion(0);
  fixture.timers.Run(Milliseconds(3'000));
  fixture.ExpectStood(Milliseconds(0), Milliseconds(0));
}

Test(standstill_meter, minion_that_is_gone_for_good_does_not_come_back) {
  StandstillFixture fixture;
  fixture.LoseMinion(0);
  fixture.timers.Run(Milliseconds(60'000));
  cr_expect_not(fixture.minions.IsUp(StandstillFixture::NumberedMinion(0)));
  cr_expect_null(fixture.store.Find("servers/minion-0"));
}

}  // namespace papayalift
