#include "planner/delay_load.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <cstdio>
#include <functional>

namespace papayalift {

namespace {

constexpr Milliseconds kPlay{60'000};
constexpr Milliseconds kMaxPlay{300'000};
constexpr int kSeeds = 12;
constexpr Milliseconds kReclaimLimit{2'700};
/// Single jobs may fare worse by chance.
constexpr double kMinValueShare = 0.99;

/// Submits what arrives at the load's present time.
using Arrivals = std::function<void(DelayLoad&)>;

/// The figures of all seeds together.
struct Played {
  LoadFigures figures{};
  Milliseconds longest_guaranteed_start{0};
  bool is_done = true;
};

void Add(const LoadFigures& figures, LoadFigures& sum) {
  for (std::size_t number = 0; number < kJobClasses; ++number) {
    sum[number].on_time += figures[number].on_time;
    sum[number].late += figures[number].late;
    sum[number].worthless += figures[number].worthless;
    sum[number].stopped_runs += figures[number].stopped_runs;
    sum[number].thrown_away += figures[number].thrown_away;
  }
}

Played Play(LoadSettings settings, const Arrivals& arrivals) {
  Played played;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    settings.seed = static_cast<std::uint32_t>(seed);
    DelayLoad load(settings);
    while (load.now() < kPlay || (!load.is_done() && load.now() < kMaxPlay)) {
      if (load.now() < kPlay) {
        arrivals(load);
      }
      load.Advance();
    }
    Add(load.Figures(), played.figures);
    played.longest_guaranteed_start =
        std::max(played.longest_guaranteed_start, load.longest_guaranteed_start());
    played.is_done = played.is_done && load.is_done();
  }
  return played;
}

void Print(const char* name, const char* policy, const Played& played) {
  constexpr std::array<const char*, kJobClasses> kNames{"urgent", "normal", "batch"};
  for (std::size_t number = 0; number < kJobClasses; ++number) {
    const ClassFigures& figures = played.figures[number];
    fmt::print(stderr,
               "{} {}: {:6} on time {:4}, late {:4}, worthless {:4}; stopped {:4}, thrown away "
               "{:7.0f} accelerator-s\n",
               name, policy, kNames[number], figures.on_time, figures.late, figures.worthless,
               figures.stopped_runs, figures.thrown_away);
  }
  fmt::print(stderr, "{} {}: longest guaranteed start {} ms\n", name, policy,
             played.longest_guaranteed_start.count());
}

double ThrownAway(const Played& played) {
  double sum = 0;
  for (const ClassFigures& figures : played.figures) {
    sum += figures.thrown_away;
  }
  return sum;
}

/// What callers got, in jobs: a late one counts half, and each priority twice the next.
double ValueOf(const Played& played) {
  constexpr std::array<double, kJobClasses> kWeights{4, 2, 1};
  double value = 0;
  for (std::size_t number = 0; number < kJobClasses; ++number) {
    const ClassFigures& figures = played.figures[number];
    value += kWeights[number] * (figures.on_time + 0.5 * figures.late);
  }
  return value;
}

void Compare(const char* name, LoadSettings settings, const Arrivals& arrivals) {
  settings.policy = DelayPolicy::kBySlack;
  const Played off = Play(settings, arrivals);
  Print(name, "off", off);
  settings.policy = DelayPolicy::kByCost;
  const Played on = Play(settings, arrivals);
  Print(name, "on ", on);
  fmt::print(stderr, "{}: value {:.0f} -> {:.0f}, thrown away {:.0f} -> {:.0f}\n", name,
             ValueOf(off), ValueOf(on), ThrownAway(off), ThrownAway(on));
  cr_expect(on.is_done, "%s: a job waits without end", name);
  cr_expect_leq(on.longest_guaranteed_start.count(), kReclaimLimit.count());
  cr_expect_leq(ThrownAway(on), ThrownAway(off));
  cr_expect_geq(ValueOf(on), kMinValueShare * ValueOf(off));
}

bool IsEach(const DelayLoad& load, std::int64_t interval) {
  return load.now().count() % interval == 0;
}

/// A tenth of the heaviest deployment's fleet and load.
void SubmitUsualLoad(DelayLoad& load) {
  if (IsEach(load, 1'400)) {
    load.SubmitUsual(JobClass::kUrgent);
  }
  if (IsEach(load, 4'500)) {
    load.SubmitUsual(JobClass::kNormal);
  }
  if (IsEach(load, 4'500)) {
    load.SubmitUsual(JobClass::kBatch);
  }
}

}  // namespace

// Of jobs of one class that can't all be on time, large ones were started first and all were late.
Test(delay_load, burst_of_normal_jobs_of_mixed_sizes_leaves_more_on_time) {
  Compare("mixed burst", LoadSettings{}, [](DelayLoad& load) {
    SubmitUsualLoad(load);
    if (load.now().count() / 1'000 % 30 < 10 && IsEach(load, 700)) {
      load.SubmitUsual(JobClass::kNormal);
    }
  });
}

Test(delay_load, overload_while_capacity_shrinks_leaves_more_on_time) {
  Compare("overload", LoadSettings{}, [](DelayLoad& load) {
    if (IsEach(load, 1'400)) {
      load.SubmitUsual(JobClass::kUrgent);
    }
    if (IsEach(load, 2'000)) {
      load.SubmitUsual(JobClass::kNormal);
      load.SubmitUsual(JobClass::kBatch);
    }
    if (load.now() == Milliseconds(20'000)) {
      load.RemoveMinions(12);
    } else if (load.now() == Milliseconds(45'000)) {
      load.RemoveMinions(0);
    }
  });
}

// Runs near their end were stopped for urgent jobs that would have found room a moment later.
Test(delay_load, burst_of_urgent_jobs_throws_less_work_away) {
  Compare("burst", LoadSettings{}, [](DelayLoad& load) {
    SubmitUsualLoad(load);
    const std::int64_t second = load.now().count() / 1'000 % 15;
    if (second < 5 && IsEach(load, 500)) {
      load.SubmitUsual(JobClass::kUrgent);
    }
  });
}

Test(delay_load, capacity_that_shrinks_by_a_third_costs_callers_least) {
  Compare("shrink", LoadSettings{}, [](DelayLoad& load) {
    SubmitUsualLoad(load);
    if (load.now() == Milliseconds(20'000)) {
      load.RemoveMinions(12);
    } else if (load.now() == Milliseconds(45'000)) {
      load.RemoveMinions(0);
    }
  });
}

Test(delay_load, wide_gang_beside_many_small_jobs_is_served) {
  Compare("wide gang", LoadSettings{}, [](DelayLoad& load) {
    if (IsEach(load, 400)) {
      load.SubmitUsual(JobClass::kUrgent);
    }
    if (IsEach(load, 1'500)) {
      load.SubmitUsual(JobClass::kBatch);
    }
    if (IsEach(load, 20'000)) {
      load.Submit(
          LoadJob{JobClass::kNormal, 13, 8, std::vector<Milliseconds>(13, Milliseconds(8'000))});
    }
  });
}

Test(delay_load, estimates_ten_times_off_cost_no_guarantee) {
  LoadSettings settings;
  settings.estimate_error = 10;
  Compare("estimates", settings, [](DelayLoad& load) {
    SubmitUsualLoad(load);
    if (load.now().count() / 1'000 % 15 < 5 && IsEach(load, 500)) {
      load.SubmitUsual(JobClass::kUrgent);
    }
  });
}

}  // namespace papayalift
