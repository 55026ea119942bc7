/// Plays the classes of a crowded deployment on a simulated fleet of uneven machines.
#pragma once

#include <cmath>
#include <cstdio>
#include <numbers>
#include <random>

#include "libraries/log/json_log_sink.h"
#include "planner/fleet_simulation.h"

namespace papayalift {

constexpr Milliseconds kDay{620'000};
/// Until then the speeds are being learned; jobs that arrive before are not counted.
constexpr Milliseconds kWarmUp{30'000};
/// Jobs that arrive later may not have ended when the day does.
constexpr Milliseconds kLastArrival{600'000};
constexpr Milliseconds kStep{100};
constexpr Milliseconds kWave{14'000};
constexpr double kWaveHeight = 0.55;
/// Load relative to the heaviest deployments, at which neither of the other classes waits long.
constexpr double kQuietDay = 0.4;
constexpr int kMinions = 105;
/// Jobs a second for 350 minions, scaled to kMinions.
constexpr double kScale = kMinions / 350.0;

struct LoadClass {
  double jobs_per_second = 0;
  SimulatedStep step;
  std::int64_t max_accelerators = 1;
  Milliseconds shortest{0};
  Milliseconds longest{0};
};

inline std::vector<LoadClass> Classes() {
  SimulatedStep urgent{WorkStepKind::kGang, 5};
  urgent.priority = Priority(0);
  urgent.slack_factor = 1.5;
  urgent.latency_target = Milliseconds(250);
  SimulatedStep normal{WorkStepKind::kGang, 13};
  normal.priority = Priority(1);
  normal.slack_factor = 3;
  SimulatedStep batch{WorkStepKind::kIndependentTasks, 39};
  batch.priority = Priority(2);
  batch.slack_factor = 3;
  batch.latency_target = Milliseconds(3'000);
  return {LoadClass{7, urgent, 8, Milliseconds(2'000), Milliseconds(2'500)},
          LoadClass{1.6, normal, 8, Milliseconds(6'000), Milliseconds(8'500)},
          LoadClass{1.6, batch, 1, Milliseconds(5'000), Milliseconds(8'000)}};
}

/// Share of the jobs of each class that were on time.
struct OnTime {
  int jobs[3] = {};
  int on_time[3] = {};

  double ShareOf(int priority) const {
    return static_cast<double>(on_time[priority]) / std::max(1, jobs[priority]);
  }
};

inline OnTime Play(const SimulationSettings& settings, double load) {
  FleetSimulation simulation(settings);
  std::mt19937 random(11);
  const std::vector<LoadClass> classes = Classes();
  while (simulation.now() < kDay) {
    const double phase = 2 * std::numbers::pi * static_cast<double>(simulation.now().count()) /
                         static_cast<double>(kWave.count());
    const double wave = load * (1 + kWaveHeight * std::sin(phase));
    for (const LoadClass& load_class : classes) {
      const double mean =
          load_class.jobs_per_second * kScale * wave * static_cast<double>(kStep.count()) / 1'000;
      const int arrivals = std::poisson_distribution<int>(mean)(random);
      for (int job = 0; job < arrivals; ++job) {
        SimulatedStep step = load_class.step;
        step.accelerators =
            std::uniform_int_distribution<std::int64_t>(1, load_class.max_accelerators)(random);
        step.duration = Milliseconds(std::uniform_int_distribution<std::int64_t>(
            load_class.shortest.count(), load_class.longest.count())(random));
        simulation.Submit(step);
      }
    }
    simulation.Advance();
  }
  OnTime result;
  for (const SimulatedOutcome& outcome : simulation.outcomes()) {
    if (outcome.arrived_at >= kWarmUp && outcome.arrived_at < kLastArrival) {
      const int priority = outcome.step.priority.value();
      ++result.jobs[priority];
      result.on_time[priority] += outcome.is_on_time() ? 1 : 0;
    }
  }
  return result;
}

inline SimulationSettings UnevenFleet(bool learns_speeds) {
  SimulationSettings settings;
  settings.minions = kMinions;
  settings.speeds = {0.7, 0.7, 1.7};
  settings.work_variation = 0.15;
  settings.straggler_share = 0.03;
  settings.learns_speeds = learns_speeds;
  return settings;
}

inline void Print(const char* name, const OnTime& result) {
  std::printf("%s: on time urgent %d of %d, normal %d of %d, batch %d of %d\n", name,
              result.on_time[0], result.jobs[0], result.on_time[1], result.jobs[1],
              result.on_time[2], result.jobs[2]);
}

}  // namespace papayalift
