/// Checks the invariants of a run on the resulting state rather than on the decisions.
#pragma once

#include <set>
#include <utility>

#include "libraries/lab/lab_state.h"

namespace papayalift {

struct InvariantReport {
  /// Attempts that held accelerators for fewer tasks, or for tasks of fewer adjacent accelerators,
  /// than their shape has.
  int partial_gangs = 0;
  /// Attempts with tasks outside their availability zone.
  int split_gangs = 0;
  /// Tasks placed on accelerators that were already held or do not exist.
  int capacity_exceeded = 0;
  /// Attempts placed into an availability zone that was out.
  int placed_into_zone_out = 0;
};

class InvariantChecker {
 public:
  /// `conflicts` is the result of FakeFleet::Hold for the attempt.
  void OnStart(const LabState& state, std::size_t index, int conflicts);
  /// Call after each event and each scheduling pass.
  void Check(const LabState& state);

  InvariantReport report() const;

 private:
  std::set<std::pair<std::size_t, int>> m_partial;
  InvariantReport m_report;
};

}  // namespace papayalift
