/// A fleet on a virtual clock whose every planning pass is PlanTasks(), without leader or network.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "libraries/planner/task_planner.h"

namespace papayalift {

struct SimulatedStep {
  WorkStepKind kind = WorkStepKind::kIndependentTasks;
  int width = 1;
  std::int64_t accelerators = 1;
  Milliseconds duration{0};
  WorkspaceId workspace;
};

/// How one step fared.
struct SimulatedOutcome {
  SimulatedStep step;
  Milliseconds arrived_at{0};
  std::optional<Milliseconds> started_at;
  std::optional<Milliseconds> ended_at;
};

struct SimulationSettings {
  int minions = 48;
  int minions_per_rack = 6;
  /// Estimate of each step relative to its true duration.
  double estimate_factor = 1;
  /// The planner is told that no step has waited, so that it reserves nothing.
  bool hides_waits = false;
};

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
  };

  PlanSnapshot Snapshot() const;
  PendingStep PendingOf(std::size_t outcome) const;
  Milliseconds EstimateOf(std::size_t outcome) const;
  /// As a leader expects it, from the run's percentage or else its estimate.
  Milliseconds RemainingOf(const Run& run) const;
  void EndRuns();
  void Start(const PlannedStart& start);

  const SimulationSettings m_settings;
  Milliseconds m_now{0};
  Milliseconds m_leader_since{0};
  Milliseconds m_paused_until{0};
  std::vector<SimulatedOutcome> m_outcomes;
  /// Indexes into m_outcomes.
  std::vector<std::size_t> m_waiting;
  std::vector<Run> m_running;
  double m_used_accelerator_milliseconds = 0;
};

}  // namespace papayalift
