/// Cost of learning the speed of machines and of placement by it, for a fleet of 3,000 minions and
/// 20 changes, and the size of the record in the store.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <vector>

#include "libraries/leader/host_speed_record.h"
#include "libraries/leader/host_speeds.h"
#include "libraries/log/json_log_sink.h"
#include "libraries/planner/task_planner.h"

namespace papayalift {

namespace {

constexpr int kMinions = 3'000;
constexpr int kChanges = 20;
constexpr int kMinionsInRack = 20;
constexpr Resources kCapacity{128'000, 512'000, 8};
constexpr Milliseconds kNow{1'000'000};

double TrueSpeedOf(int minion) { return minion % 3 == 2 ? 1.7 : 0.7; }

HostRate RateOf(int minion, std::uint64_t run) {
  HostRate rate;
  rate.host = HostIdentity{fmt::format("10.11.{}.{}:7000", minion / 250, minion % 250),
                           static_cast<std::uint64_t>(3'000'000'000 + minion)};
  rate.service = ServiceId("pool");
  rate.run = run;
  rate.rate = TrueSpeedOf(minion) * (run % 2 == 0 ? 0.9 : 1.1);
  return rate;
}

HostSpeeds LearnedSpeeds() {
  HostSpeeds speeds;
  std::uint64_t run = 0;
  for (int round = 0; round < 10; ++round) {
    std::vector<HostRate> group;
    group.reserve(kMinions);
    for (int minion = 0; minion < kMinions; ++minion) {
      group.push_back(RateOf(minion, ++run));
    }
    speeds.Observe(group, kNow);
  }
  speeds.UpdateSpreads(kNow);
  return speeds;
}

/// Twenty steps: gangs of five and independent tasks by turns. Every tenth accelerator is free.
PlanSnapshot FullFleet(bool regards_speeds) {
  PlanSnapshot snapshot;
  for (int number = 0; number < kMinions; ++number) {
    PlanMinion& minion = snapshot.minions.emplace_back();
    minion.id = MinionId(fmt::format("m{:05}", number));
    minion.service = ServiceId("pool");
    minion.rack = RackId(fmt::format("r{:03}", number / kMinionsInRack));
    minion.capacity = kCapacity;
    minion.free = Resources{60'000, 256'000, number % 10 == 0 ? 8 : 0};
    if (regards_speeds) {
      minion.speed = TrueSpeedOf(number);
      minion.is_fast = minion.speed > 1;
    }
  }
  for (int number = 0; number < kChanges; ++number) {
    PendingStep& pending = snapshot.pending_steps.emplace_back();
    pending.job = JobId(fmt::format("{:016x}", number));
    pending.service = ServiceId("pool");
    pending.spec.kind = number % 2 == 0 ? WorkStepKind::kGang : WorkStepKind::kIndependentTasks;
    pending.spec.needs = Resources{1'000, 1'000, 4};
    pending.spec.estimate = Milliseconds(2'100);
    pending.spec.count = 5;
    pending.task_indexes = {0, 1, 2, 3, 4};
    pending.priority = Priority(number % 2);
    pending.min_speed = regards_speeds && number % 2 == 0 ? 0.8 : 0;
  }
  return snapshot;
}

void Observe20Machines(benchmark::State& state) {
  DisableLogging();
  HostSpeeds speeds = LearnedSpeeds();
  std::uint64_t run = 1'000'000;
  for (auto _ : state) {
    std::vector<HostRate> group;
    group.reserve(kChanges);
    for (int change = 0; change < kChanges; ++change) {
      group.push_back(RateOf(change * 149, ++run));
    }
    speeds.Observe(group, kNow);
  }
}
BENCHMARK(Observe20Machines)->Unit(benchmark::kMicrosecond);

void UpdateSpreadsOf3000Machines(benchmark::State& state) {
  DisableLogging();
  HostSpeeds speeds = LearnedSpeeds();
  for (auto _ : state) {
    speeds.UpdateSpreads(kNow);
  }
}
BENCHMARK(UpdateSpreadsOf3000Machines)->Unit(benchmark::kMicrosecond);

void Plan20Steps(benchmark::State& state) {
  const PlanSnapshot snapshot = FullFleet(state.range(0) != 0);
  for (auto _ : state) {
    benchmark::DoNotOptimize(PlanTasks(snapshot));
  }
}
BENCHMARK(Plan20Steps)->ArgName("speeds")->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);

void EncodeRecord(benchmark::State& state) {
  DisableLogging();
  const HostSpeedRecord record{LearnedSpeeds().hosts(), {}};
  std::size_t bytes = 0;
  std::size_t parts = 0;
  for (auto _ : state) {
    const std::vector<std::string> texts = EncodeHostSpeeds(record, ClockReading{kNow, kNow});
    bytes = 0;
    for (const std::string& text : texts) {
      bytes += text.size();
    }
    parts = texts.size();
  }
  state.counters["bytes_a_machine"] = static_cast<double>(bytes) / kMinions;
  state.counters["keys"] = static_cast<double>(parts);
}
BENCHMARK(EncodeRecord)->Unit(benchmark::kMicrosecond);

}  // namespace

}  // namespace papayalift

BENCHMARK_MAIN();
