/// Runs the decision library under a virtual clock, with fakes at its interfaces.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "libraries/decisions/decision.h"
#include "libraries/decisions/snapshot.h"
#include "libraries/lab/capacity_meter.h"
#include "libraries/lab/event_queue.h"
#include "libraries/lab/gang_lifecycle.h"
#include "libraries/lab/guarantee_meter.h"
#include "libraries/lab/invariant_checker.h"
#include "libraries/lab/lab_state.h"
#include "libraries/lab/run_report.h"
#include "libraries/lab/time_windows.h"

namespace papayalift {

using DecideFunction = std::function<Decision(const Snapshot& snapshot)>;

class Simulation {
 public:
  /// `scenario` must outlive the simulation.
  Simulation(const Scenario& scenario, std::uint64_t seed, DecideFunction decide);

  /// Runs until every job has ended or the time of the scenario has elapsed. May be called only
  /// once.
  RunReport Run();

  const LabState& state() const { return m_state; }

 private:
  void AddEvents(std::uint64_t seed);
  void AddFailingWorkers(std::uint64_t seed);
  void ProcessEventsAt(Milliseconds at);
  void Apply(const LabEvent& event);
  void SetZone(std::size_t change, ZoneState zone_state);
  void SetFailing(std::size_t worker, int change);
  bool IsCurrent(const LabEvent& event) const;
  void RunPass();
  void Start(const StartDecision& start);
  void Stop(const StopDecision& stop);
  void ScheduleNextPass();
  RunReport Report();

  const Scenario& m_scenario;
  DecideFunction m_decide;
  LabState m_state;
  EventQueue m_events;
  GangLifecycle m_gangs;
  TimeWindows m_zone_changes;
  CapacityMeter m_capacity;
  GuaranteeMeter m_guarantees;
  InvariantChecker m_invariants;
  std::map<JobId, std::size_t> m_positions;
  /// Number of overlapping injected failures, by worker index.
  std::vector<int> m_failure_counts;
  Milliseconds m_next_pass{0};
  std::vector<double> m_pass_microseconds;
};

}  // namespace papayalift
