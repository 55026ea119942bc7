#include "libraries/lab/simulation.h"

#include <criterion/criterion.h>

#include <cmath>
#include <string>

#include "lab/lab_fixture.h"
#include "libraries/decisions/decide.h"
#include "libraries/lab/accelerator_hours.h"
#include "libraries/lab/lab_run.h"
#include "libraries/lab/report_codec.h"

namespace papayalift {

namespace {

constexpr double kTolerance = 1e-6;
constexpr Shape kWholeZone{TaskCount(2), AcceleratorCount(4)};

/// Mixed load with a zone change, a cancellation wave and a failing worker.
struct BusyFixture : LabFixture {
  BusyFixture() {
    AddJobs("wave", Shape{}, 3 * kMinute, 30 * kMinute, 31 * kMinute, 100);
    JobClass mixed;
    mixed.name = "mixed";
    mixed.shapes = {Shape{}, Shape{TaskCount(2), AcceleratorCount(2)}, kWholeZone};
    mixed.jobs_per_day = 400;
    mixed.bursts_per_day = 20;
    mixed.jobs_per_burst = 5;
    mixed.run_time = 8 * kMinute;
    mixed.run_time_spread = 1.0;
    mixed.declared_error = 3.0;
    mixed.never_share = 0.1;
    mixed.urgent_share = 0.1;
    scenario.classes.push_back(mixed);
    scenario.zone_changes = {ZoneChange{ZoneId("region-1-zone-1"), 50 * kMinute, 80 * kMinute}};
    scenario.failing_workers = {FailingWorkers{1, 100 * kMinute, 110 * kMinute}};
    scenario.timing.start_delay = Milliseconds(300);
    scenario.timing.report_lag = Milliseconds(2'000);
    scenario.timing.stop_grace = Milliseconds(2'000);
    scenario.timing.checkpoint_failures = 0.5;
    scenario.timing.drain = 2'000 * kMinute;
  }
};

/// The encoded report without wall-clock measurements.
std::string DeterministicReportText(RunReport report) {
  report.cost = DecisionCost{};
  return EncodeRunReport(report);
}

void ExpectNear(double value, double expected) {
  cr_assert(std::abs(value - expected) < kTolerance, "%f is not %f", value, expected);
}

/// Useful accelerator-hours computed from the checkpoints of the jobs instead of the attempts.
double KeptHours(const LabState& state) {
  double hours = 0.0;
  for (std::size_t index = 0; index < state.jobs.size(); ++index) {
    const bool cancelled = state.runs[index].state == RunState::kCancelled;
    const Milliseconds kept = cancelled ? Milliseconds(0) : state.runs[index].checkpoint;
    hours += AcceleratorHours(state.jobs[index].spec.shape.Total(), kept);
  }
  return hours;
}

void ExpectConserved(const Policy& policy, std::uint64_t seed) {
  const BusyFixture fixture;
  Simulation simulation(fixture.scenario, seed,
                        [&policy](const Snapshot& snapshot) { return Decide(snapshot, policy); });
  const RunReport report = simulation.Run();
  const WorkTally& work = report.work;
  ExpectNear(work.useful, KeptHours(simulation.state()));
  ExpectNear(work.held, work.useful + work.lost + work.cancelled + work.overhead);
  cr_assert(work.repeated <= work.lost + kTolerance);
  const JobCounts& jobs = report.jobs;
  cr_assert_eq(jobs.submitted, jobs.done + jobs.cancelled + jobs.refused + jobs.unfinished);
  cr_assert_eq(jobs.wrongly_accepted + jobs.wrongly_refused, 0);
  cr_assert_gt(jobs.refused, 0);
}

/// Starts the first two jobs, each on the first accelerator of a zone.
Decision OneInEachZone(const Snapshot& snapshot) {
  Decision decision;
  for (std::size_t index = 0; index < snapshot.waiting.size() && index < 2; ++index) {
    const WorkerView& worker = snapshot.workers[index];
    decision.starts.push_back(StartDecision{snapshot.waiting[index].job,
                                            worker.zone,
                                            Claim::kBorrowed,
                                            {TaskPlacement{worker.id, AcceleratorSet(1)}},
                                            "one in each zone"});
  }
  return decision;
}

}  // namespace

Test(simulation, run_same_seed_gives_same_report) {
  const BusyFixture fixture;
  for (const std::string& policy : PolicyNames()) {
    const std::string first = DeterministicReportText(*RunPolicy(fixture.scenario, policy, 7));
    cr_assert_eq(first, DeterministicReportText(*RunPolicy(fixture.scenario, policy, 7)));
    cr_assert_neq(first, DeterministicReportText(*RunPolicy(fixture.scenario, policy, 8)));
  }
}

Test(simulation, run_any_policy_and_seed_conserves_work_and_jobs) {
  constexpr std::uint64_t kSeeds = 10;
  for (const std::string& name : PolicyNames()) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ExpectConserved(*FindPolicy(name), seed);
    }
  }
}

Test(simulation, run_two_zone_wide_gangs_and_one_waiting_gives_expected_times) {
  LabFixture fixture;
  fixture.AddJobs("wide", kWholeZone, 30 * kMinute, Milliseconds(0), kNeverCancelled, 3);
  const RunReport report = *RunPolicy(fixture.scenario, "fifo", 1);
  cr_assert_eq(report.jobs.done, 3);
  // Two gangs run at once and the third after them, so they complete after 30, 30 and 60 minutes.
  ExpectNear(report.overall.completion.mean, 2'400.0);
  ExpectNear(report.overall.completion.p95, 3'600.0);
  ExpectNear(report.overall.slowdown.p95, 2.0);
  ExpectNear(report.overall.longest_wait, 1'800.0);
  ExpectNear(report.work.useful, 12.0);
  // 12 of the 53.33 accelerator-hours available in 200 minutes.
  ExpectNear(report.utilisation, 12.0 / (16.0 * 200.0 / 60.0));
  ExpectNear(report.fragmentation, 0.0);
}

Test(simulation, run_zone_out_moves_gang_and_counts_its_work) {
  LabFixture fixture;
  fixture.AddJobs("wide", kWholeZone, 30 * kMinute, Milliseconds(0), kNeverCancelled, 1);
  fixture.scenario.zone_changes = {
      ZoneChange{ZoneId("region-1-zone-1"), 15 * kMinute, 40 * kMinute}};
  fixture.scenario.timing.checkpoint_failures = 1.0;
  const RunReport report = *RunPolicy(fixture.scenario, "fifo", 1);
  // The gang loses the 5 minutes since its last checkpoint and runs 20 more in the other zone.
  ExpectNear(report.overall.completion.mean, 35 * 60.0);
  ExpectNear(report.work.lost, 8 * 5 / 60.0);
  ExpectNear(report.work.repeated, 8 * 5 / 60.0);
  ExpectNear(report.work_in_zone_changes.useful, 8 * 20 / 60.0);
  ExpectNear(report.allowed_in_zone_changes, 8 * 20 / 60.0);
}

Test(simulation, run_small_gangs_in_both_zones_fragments_beyond_the_floor) {
  LabFixture fixture;
  fixture.AddJobs("small", Shape{}, 200 * kMinute, Milliseconds(0), kNeverCancelled, 2);
  fixture.AddJobs("wide", kWholeZone, kMinute, 300 * kMinute, kNeverCancelled, 1);
  const Scenario& scenario = fixture.scenario;
  const RunReport spread = Simulation(scenario, 1, [](const Snapshot& snapshot) {
                             return OneInEachZone(snapshot);
                           }).Run();
  // 14 accelerators are free, 7 in each zone; a wide gang needs 8 in one zone.
  ExpectNear(spread.fragmentation, 1.0);
  ExpectNear(spread.fragmentation_floor, 6.0 / 14.0);
}

Test(simulation, run_wave_of_ten_thousand_cancellations_ends_them_all) {
  LabFixture fixture;
  constexpr int kJobs = 10'000;
  fixture.AddJobs("wave", Shape{}, 30 * kMinute, kMinute, 2 * kMinute, kJobs);
  const RunReport report = *RunPolicy(fixture.scenario, "fifo", 1);
  cr_assert_eq(report.jobs.cancelled, kJobs);
  cr_assert_eq(report.jobs.unfinished, 0);
  ExpectNear(report.work.useful, 0.0);
  ExpectNear(report.work.cancelled, 16 / 60.0);
}

}  // namespace papayalift
