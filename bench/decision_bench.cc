/// Cost of one scheduling pass over a busy fleet by number of workers and of waiting jobs. The
/// percentile counters are microseconds of CPU time of the thread, which excludes other load on the
/// machine.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <vector>

#include "libraries/decisions/decide.h"

namespace papayalift {

namespace {

constexpr int kZones = 11;
constexpr int kWorkersInRack = 8;
constexpr int kWorkspaces = 32;
/// Fleet size that the system is designed for in two years.
constexpr int kTargetWorkers = 720;
/// One in this many accelerators stays free.
constexpr int kFreeAcceleratorInterval = 10;

WorkspaceId MakeWorkspaceId(int index) { return WorkspaceId(fmt::format("team-{:02}", index)); }

/// Two accelerators per worker, except that every tenth worker has one: 1,368 at target size.
void AddWorkers(int workers, Snapshot& snapshot) {
  for (int index = 0; index < workers; ++index) {
    WorkerView worker;
    worker.id = WorkerId(fmt::format("worker-{:04}", index));
    worker.zone = ZoneId(fmt::format("zone-{:02}", index % kZones));
    worker.rack =
        RackId(fmt::format("rack-{:02}-{:02}", index % kZones, index / kZones / kWorkersInRack));
    worker.accelerators = AcceleratorCount(index % 10 == 0 ? 1 : 2);
    snapshot.workers.push_back(worker);
  }
}

void AddWorkspaces(int workers, Snapshot& snapshot) {
  constexpr AcceleratorCount kAmple(100'000);
  for (int index = 0; index < kWorkspaces; ++index) {
    const int gangs = std::max(1, workers / 360);
    snapshot.workspaces.push_back(
        WorkspaceSpec{MakeWorkspaceId(index),
                      kAmple,
                      {Guarantee{Shape{TaskCount(4), AcceleratorCount(1)}, gangs},
                       Guarantee{Shape{TaskCount(2), AcceleratorCount(2)}, gangs}}});
  }
}

/// Fills most of the fleet with borrowed gangs of one task and one accelerator.
void AddGangs(Snapshot& snapshot) {
  int number = 0;
  for (const WorkerView& worker : snapshot.workers) {
    for (int position = 0; position < worker.accelerators.value(); ++position) {
      if (++number % kFreeAcceleratorInterval == 0) {
        continue;
      }
      GangView& gang = snapshot.gangs.emplace_back();
      gang.job = JobId(fmt::format("running-{}", number));
      gang.workspace = MakeWorkspaceId(number % kWorkspaces);
      gang.zone = worker.zone;
      gang.since_checkpoint = Milliseconds(number * 977 % 600'000);
      gang.running_for = std::chrono::minutes(30);
      gang.declared_run_time = std::chrono::hours(2);
      gang.tasks = {{worker.id, AcceleratorSet::RunAt(position, AcceleratorCount(1))}};
    }
  }
}

Snapshot BusyFleet(int workers) {
  Snapshot snapshot;
  AddWorkers(workers, snapshot);
  AddWorkspaces(workers, snapshot);
  AddGangs(snapshot);
  return snapshot;
}

void AddWaiting(const Shape& shape, int count, Snapshot& snapshot) {
  for (int index = 0; index < count; ++index) {
    WaitingJob& job = snapshot.waiting.emplace_back();
    job.job = JobId(fmt::format("waiting-{}", index));
    job.workspace = MakeWorkspaceId(index % kWorkspaces);
    job.shape = shape;
    job.declared_run_time = std::chrono::hours(1);
  }
}

double Percentile(std::vector<double>& sorted, double share) {
  return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

/// CPU time of the calling thread.
double ProcessorMicroseconds() {
  constexpr double kMicrosecondsInSecond = 1e6;
  constexpr double kNanosecondsInMicrosecond = 1e3;
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) * kMicrosecondsInSecond +
         static_cast<double>(spent.tv_nsec) / kNanosecondsInMicrosecond;
}

/// Times each pass separately to report percentiles.
void TimePasses(const Snapshot& snapshot, benchmark::State& state) {
  const Policy policy = *FindPolicy("papaya");
  std::vector<double> microseconds;
  Decision decision;
  for ([[maybe_unused]] const auto& iteration : state) {
    const double began = ProcessorMicroseconds();
    decision = Decide(snapshot, policy);
    microseconds.push_back(ProcessorMicroseconds() - began);
    benchmark::DoNotOptimize(decision);
  }
  std::sort(microseconds.begin(), microseconds.end());
  state.counters["p50"] = Percentile(microseconds, 0.5);
  state.counters["p99"] = Percentile(microseconds, 0.99);
  state.counters["starts"] = static_cast<double>(decision.starts.size());
  state.counters["stops"] = static_cast<double>(decision.stops.size());
}

/// One waiting job whose shape exceeds every guarantee, so that it can only borrow. It starts only
/// on fleets of 360 workers or more.
void PlaceOne(benchmark::State& state) {
  Snapshot snapshot = BusyFleet(static_cast<int>(state.range(0)));
  AddWaiting(Shape{TaskCount(5), AcceleratorCount(1)}, 1, snapshot);
  TimePasses(snapshot, state);
}

/// One waiting job within its guarantee, of four tasks with one accelerator each; the pass must
/// also prove that every other guarantee can be met.
void PlaceOneGuaranteed(benchmark::State& state) {
  Snapshot snapshot = BusyFleet(static_cast<int>(state.range(0)));
  AddWaiting(Shape{TaskCount(4), AcceleratorCount(1)}, 1, snapshot);
  TimePasses(snapshot, state);
}

/// One waiting job within its guarantee, of two tasks with two accelerators each, for which only
/// borrowed accelerators can be reclaimed.
void ReclaimForOne(benchmark::State& state) {
  Snapshot snapshot = BusyFleet(static_cast<int>(state.range(0)));
  AddWaiting(Shape{TaskCount(2), AcceleratorCount(2)}, 1, snapshot);
  TimePasses(snapshot, state);
}

/// A burst of waiting jobs that do not fit.
void PassOverWaiting(benchmark::State& state) {
  Snapshot snapshot = BusyFleet(kTargetWorkers);
  AddWaiting(Shape{TaskCount(64), AcceleratorCount(2)}, static_cast<int>(state.range(0)), snapshot);
  TimePasses(snapshot, state);
}

BENCHMARK(PlaceOne)->Arg(90)->Arg(180)->Arg(360)->Arg(kTargetWorkers);
BENCHMARK(PlaceOneGuaranteed)->Arg(90)->Arg(180)->Arg(360)->Arg(kTargetWorkers);
BENCHMARK(ReclaimForOne)->Arg(90)->Arg(180)->Arg(360)->Arg(kTargetWorkers);
BENCHMARK(PassOverWaiting)->Arg(1)->Arg(100)->Arg(1'000)->Arg(10'000);

}  // namespace

}  // namespace papayalift

BENCHMARK_MAIN();
