#include "libraries/leader/host_rates.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "libraries/leader/run_progress.h"

namespace papayalift {

namespace {

constexpr Milliseconds kStart{10'000};

/// One step of one job, with a run on each of some minions.
struct RatesFixture {
  explicit RatesFixture(WorkStepKind kind, int runs = 4) {
    TrackedJob& job = state.jobs[JobId("job")];
    job.accepted.id = JobId("job");
    job.accepted.work.steps.resize(1);
    job.accepted.work.steps[0].kind = kind;
    job.accepted.work.steps[0].count = runs;
    for (int index = 0; index < runs; ++index) {
      AddRun(index);
    }
  }

  void AddRun(int index) {
    const MinionId id(fmt::format("m{}", index));
    TrackedMinion& minion = state.minions[id];
    minion.id = id;
    minion.entry = MinionEntry();
    minion.entry->service = ServiceId("pool");
    minion.entry->address = fmt::format("10.0.0.{}:7000", index);
    minion.host = HostIdentityOf(*minion.entry);
    TrackedRun& run = minion.runs[TaskName{JobId("job"), 0, 0, index}];
    run.task = TaskName{JobId("job"), 0, 0, index};
    run.minion = id;
    run.state = TrackedRunState::kRunning;
  }

  void Report(int index, int percent, Milliseconds now) {
    TrackedMinion& minion = state.minions[MinionId(fmt::format("m{}", index))];
    RecordProgress(minion.runs.begin()->second, percent, now);
  }

  std::vector<std::vector<HostRate>> Measure(Milliseconds now) {
    return MeasureHostRates(state, now);
  }

  LeaderState state;
};

}  // namespace

Test(host_rates, tasks_of_one_step_are_compared) {
  RatesFixture fixture(WorkStepKind::kIndependentTasks);
  for (int index = 0; index < 4; ++index) {
    fixture.Report(index, 0, kStart);
  }
  cr_assert(fixture.Measure(kStart).empty());
  for (int index = 0; index < 4; ++index) {
    fixture.Report(index, index == 0 ? 5 : 20, kStart + Milliseconds(1'000));
  }
  const std::vector<std::vector<HostRate>> groups = fixture.Measure(kStart + Milliseconds(1'000));
  cr_assert_eq(groups.size(), 1);
  cr_assert_eq(groups[0].size(), 4);
  for (const HostRate& rate : groups[0]) {
    cr_assert_float_eq(rate.rate, rate.host.address == "10.0.0.0:7000" ? 5 : 20, 1e-9);
  }
}

// Percentages are whole numbers, so little progress shows no rate.
Test(host_rates, little_progress_shows_nothing) {
  RatesFixture fixture(WorkStepKind::kIndependentTasks);
  for (int index = 0; index < 4; ++index) {
    fixture.Report(index, 0, kStart);
  }
  fixture.Measure(kStart);
  for (int index = 0; index < 4; ++index) {
    fixture.Report(index, 3, kStart + Milliseconds(1'000));
  }
  cr_assert(fixture.Measure(kStart + Milliseconds(1'000)).empty());
}

// The members of a gang may make progress together, at the rate of the slowest. Taken for a
// comparison, that would level the speeds of their machines. Their reports come at different times.
Test(host_rates, gang_with_one_common_progress_shows_nothing) {
  RatesFixture fixture(WorkStepKind::kGang);
  for (int index = 0; index < 4; ++index) {
    fixture.Report(index, 0, kStart);
  }
  fixture.Measure(kStart);
  for (int index = 0; index < 4; ++index) {
    const Milliseconds time(800 + 300 * index);
    fixture.Report(index, static_cast<int>(time.count() / 50), kStart + time);
  }
  cr_assert(fixture.Measure(kStart + Milliseconds(2'000)).empty());
}

// Work away from the rack of its data takes several times as long, also on a fast machine.
Test(host_rates, tasks_away_from_their_data_are_not_compared) {
  RatesFixture fixture(WorkStepKind::kIndependentTasks);
  fixture.state.jobs[JobId("job")].accepted.work.steps[0].data_rack = RackId("data");
  for (int index = 0; index < 4; ++index) {
    fixture.state.minions[MinionId(fmt::format("m{}", index))].entry->rack =
        RackId(index == 0 ? "other" : "data");
    fixture.Report(index, 0, kStart);
  }
  fixture.Measure(kStart);
  for (int index = 0; index < 4; ++index) {
    fixture.Report(index, index == 0 ? 7 : 20, kStart + Milliseconds(1'000));
  }
  const std::vector<std::vector<HostRate>> groups = fixture.Measure(kStart + Milliseconds(1'000));
  cr_assert_eq(groups.size(), 1);
  cr_assert_eq(groups[0].size(), 3);
}

Test(host_rates, members_of_a_gang_with_their_own_progress_are_compared) {
  RatesFixture fixture(WorkStepKind::kGang);
  for (int index = 0; index < 4; ++index) {
    fixture.Report(index, 0, kStart);
  }
  fixture.Measure(kStart);
  for (int index = 0; index < 4; ++index) {
    fixture.Report(index, index == 3 ? 48 : 20, kStart + Milliseconds(1'000));
  }
  cr_assert_eq(fixture.Measure(kStart + Milliseconds(1'000)).size(), 1);
}

}  // namespace papayalift
