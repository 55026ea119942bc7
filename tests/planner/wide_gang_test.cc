#include <criterion/criterion.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <random>

#include "planner/fleet_simulation.h"

namespace papayalift {

namespace {

constexpr Milliseconds kShortestTask{2'500};
constexpr Milliseconds kLongestTask{9'500};
constexpr Milliseconds kGang{8'500};
constexpr Milliseconds kDay{600'000};
constexpr Milliseconds kGangInterval{60'000};
/// No gang waits longer than the longest run and twice its own length.
constexpr Milliseconds kMaxWait = kLongestTask + 2 * kGang;
constexpr double kMaxLessUse = 0.03;
constexpr std::size_t kBacklog = 60;
constexpr int kWidths[] = {2, 4, 8, 16};

/// 48 minions full of narrow work for ten minutes, to which gangs of whole minions come.
struct FullFleet {
  explicit FullFleet(const SimulationSettings& settings) : simulation(settings) {}

  void SubmitNarrowWork() {
    std::uniform_int_distribution<std::int64_t> duration(kShortestTask.count() / 100,
                                                         kLongestTask.count() / 100);
    while (simulation.waiting() < kBacklog) {
      simulation.Submit(SimulatedStep{WorkStepKind::kIndependentTasks, 1, 1,
                                      Milliseconds(duration(random) * 100), WorkspaceId("narrow")});
    }
  }

  void SubmitGangs() {
    for (const int width : kWidths) {
      simulation.Submit(SimulatedStep{WorkStepKind::kGang, width, 8, kGang,
                                      WorkspaceId("gangs-" + std::to_string(width))});
    }
  }

  void Play(std::optional<Milliseconds> leader_lost_at = std::nullopt) {
    while (simulation.now() < kDay) {
      if (simulation.now().count() % kGangInterval.count() == 0) {
        SubmitGangs();
      }
      if (simulation.now() == leader_lost_at) {
        simulation.ReplaceLeader(Milliseconds(2'500));
      }
      SubmitNarrowWork();
      simulation.Advance();
    }
  }

  /// How long the gangs of the width have waited, in ascending order; up to now for those that do.
  std::vector<Milliseconds> WaitsOf(int width) const {
    std::vector<Milliseconds> waits;
    for (const SimulatedOutcome& outcome : simulation.outcomes()) {
      if (outcome.step.kind == WorkStepKind::kGang && outcome.step.width == width) {
        waits.push_back(outcome.started_at.value_or(simulation.now()) - outcome.arrived_at);
      }
    }
    std::sort(waits.begin(), waits.end());
    return waits;
  }

  Milliseconds LongestWait() const {
    Milliseconds longest{0};
    for (const int width : kWidths) {
      longest = std::max(longest, WaitsOf(width).back());
    }
    return longest;
  }

  void Print(const char* name) const {
    for (const int width : kWidths) {
      const std::vector<Milliseconds> waits = WaitsOf(width);
      fmt::print(stderr, "{}: width {:2}: p50 {:6} ms, longest {:6} ms; in use {:.3f}\n", name,
                 width, waits[waits.size() / 2].count(), waits.back().count(),
                 simulation.used_share());
    }
  }

  FleetSimulation simulation;
  std::mt19937 random{20261205};
};

void ExpectGangsServed(double estimate_factor, std::optional<Milliseconds> leader_lost_at) {
  FullFleet before(SimulationSettings{48, 6, estimate_factor, true});
  before.Play(leader_lost_at);
  before.Print("without reservations");
  FullFleet after(SimulationSettings{48, 6, estimate_factor, false});
  after.Play(leader_lost_at);
  after.Print("with reservations   ");
  cr_assert_leq(after.LongestWait().count(), kMaxWait.count());
  cr_assert_geq(after.simulation.used_share(), before.simulation.used_share() - kMaxLessUse);
}

}  // namespace

Test(wide_gang, behind_narrow_work_starts_in_time_by_right_estimates) {
  ExpectGangsServed(1, std::nullopt);
}

Test(wide_gang, behind_narrow_work_starts_in_time_by_estimates_of_half) {
  ExpectGangsServed(0.5, std::nullopt);
}

Test(wide_gang, behind_narrow_work_starts_in_time_by_tenfold_estimates) {
  ExpectGangsServed(10, std::nullopt);
}

Test(wide_gang, behind_narrow_work_starts_in_time_though_the_leader_is_lost) {
  ExpectGangsServed(1, Milliseconds(305'000));
}

// A narrow step that ends before the gang can start takes nothing from it.
Test(wide_gang, reserved_minions_take_work_that_ends_in_time) {
  FleetSimulation simulation(SimulationSettings{10, 10, 1, false});
  const auto submit_narrow = [&simulation](int width, Milliseconds duration) {
    simulation.Submit(
        SimulatedStep{WorkStepKind::kIndependentTasks, width, 8, duration, WorkspaceId("narrow")});
  };
  submit_narrow(6, Milliseconds(60'000));
  submit_narrow(1, Milliseconds(20'000));
  simulation.Advance();
  simulation.Submit(SimulatedStep{WorkStepKind::kGang, 4, 8, kGang, WorkspaceId("wide")});
  while (simulation.now() < Milliseconds(5'000)) {
    simulation.Advance();
  }
  submit_narrow(1, Milliseconds(30'000));
  submit_narrow(1, Milliseconds(6'000));
  while (!simulation.is_done()) {
    simulation.Advance();
  }
  const std::vector<SimulatedOutcome>& outcomes = simulation.outcomes();
  cr_assert_eq(outcomes[2].started_at->count(), 20'000);
  cr_assert_geq(outcomes[3].started_at->count(), 20'000);
  cr_assert_eq(outcomes[4].started_at->count(), 5'000);
}

Test(wide_gang, finite_work_of_any_widths_is_all_done) {
  cr_assert(rc::check("no step of finite work waits for ever", [] {
    constexpr int kMinions = 12;
    const double estimate_factor = *rc::gen::element(0.5, 1.0, 10.0);
    FleetSimulation simulation(SimulationSettings{kMinions, 6, estimate_factor, false});
    const int steps = *rc::gen::inRange(1, 40);
    for (int number = 0; number < steps; ++number) {
      const bool is_gang = *rc::gen::arbitrary<bool>();
      simulation.Submit(SimulatedStep{
          is_gang ? WorkStepKind::kGang : WorkStepKind::kIndependentTasks,
          *rc::gen::inRange(1, kMinions + 1), *rc::gen::element<std::int64_t>(1, 4, 8),
          Milliseconds(*rc::gen::inRange(1, 100) * 100),
          WorkspaceId(*rc::gen::element<std::string>("shop", "yard", "mill"))});
      simulation.Advance();
    }
    while (!simulation.is_done() && simulation.now() < kDay) {
      simulation.Advance();
    }
    RC_ASSERT(simulation.is_done());
  }));
}

}  // namespace papayalift
