/// A fleet on a virtual clock whose every planning pass is PlanTasks(), without leader or network.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libraries/leader/host_speeds.h"
#include "libraries/planner/task_planner.h"

namespace papayalift {

struct SimulatedStep {
  WorkStepKind kind = WorkStepKind::kIndependentTasks;
  int width = 1;
  std::int64_t accelerators = 1;
  /// Of one task on a usual minion.
  Milliseconds duration{0};
  WorkspaceId workspace{};
  Priority priority{1};
  /// The step is on time if it ends within `duration` times this factor and `latency_target`.
  double slack_factor = 2;
  Milliseconds latency_target{1'000};
};

/// How one step fared.
struct SimulatedOutcome {
  SimulatedStep step;
  Milliseconds arrived_at{0};
  std::optional<Milliseconds> started_at;
  std::optional<Milliseconds> ended_at;

  bool is_on_time() const;
};

struct SimulationSettings {
  int minions = 48;
  int minions_per_rack = 6;
  /// Estimate of each step relative to its true duration.
  double estimate_factor = 1;
  /// The planner is told that no step has waited, so that it reserves nothing.
  bool hides_waits = false;
  /// Speeds of the minions, repeated over all of them; empty if all are usual.
  std::vector<double> speeds{};
  /// The leader learns the speeds from the progress of independent tasks.
  bool learns_speeds = false;
  /// The work of the tasks of one step differs by up to this share in either direction.
  double work_variation = 0;
  /// Share of the tasks that take kStragglerFactor times as long.
  double straggler_share = 0;
};

constexpr double kStragglerFactor = 7;

class FleetSimulation {
 public:
  explicit FleetSimulation(const SimulationSettings& settings);

  Milliseconds now() const { return m_now; }
  void Submit(const SimulatedStep& step);
  /// Plans, then advances the clock by one interval.
  void Advance();
  /// A new leader knows of no wait, and plans nothing for `pause`.
  void ReplaceLeader(Milliseconds pause);

  std::size_t waiting() const { return m_waiting.size(); }
  bool is_done() const { return m_waiting.empty() && m_running.empty(); }
  const std::vector<SimulatedOutcome>& outcomes() const { return m_outcomes; }
  /// Share of all accelerators that was in use on average.
  double used_share() const;

 private:
  struct Run {
    std::size_t outcome = 0;
    std::size_t minion = 0;
    Milliseconds began_at{0};
    /// On its minion, and for a gang on the slowest of its minions.
    Milliseconds duration{0};
    int index = 0;
    bool was_measured = false;
  };

  PlanSnapshot Snapshot() const;
  PendingStep PendingOf(std::size_t outcome) const;
  Milliseconds EstimateOf(std::size_t outcome) const;
  /// As a leader expects it, from the run's percentage or else its estimate.
  Milliseconds RemainingOf(const Run& run) const;
  void EndRuns();
  double SpeedOf(std::size_t minion) const;
  /// Work of a task relative to the step's duration.
  double DrawWork();
  HostIdentity HostOf(std::size_t minion) const;
  /// Compares the tasks of each step of independent tasks with each other.
  void LearnSpeeds();
  void Start(const PlannedStart& start);

  const SimulationSettings m_settings;
  Milliseconds m_now{0};
  Milliseconds m_leader_since{0};
  Milliseconds m_paused_until{0};
  std::vector<SimulatedOutcome> m_outcomes;
  /// Indexes into m_outcomes.
  std::vector<std::size_t> m_waiting;
  /// For each of them, the tasks that wait.
  std::map<std::size_t, std::vector<int>> m_waiting_tasks;
  std::vector<Run> m_running;
  HostSpeeds m_host_speeds;
  std::mt19937 m_random{20261207};
  double m_used_accelerator_milliseconds = 0;
};

}  // namespace papayalift
