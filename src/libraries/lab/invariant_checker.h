/// What must hold in every run, checked on what the decisions did, not on what they say.
#pragma once

#include <set>
#include <utility>

#include "libraries/lab/lab_state.h"

namespace papayalift {

struct InvariantReport {
  /// Attempts that held accelerators for fewer tasks, or for tasks of fewer adjacent accelerators,
  /// than their shape has.
  int partial_gangs = 0;
  /// Attempts with tasks in another availability zone than their own.
  int split_gangs = 0;
  /// Tasks placed on accelerators that were held, or that there are not.
  int capacity_exceeded = 0;
  /// Attempts placed into an availability zone that was out.
  int placed_into_zone_out = 0;
};

class InvariantChecker {
 public:
  /// `conflicts` is what the fleet said when the attempt took its accelerators.
  void OnStart(const LabState& state, std::size_t index, int conflicts);
  /// After each event.
  void Check(const LabState& state);

  InvariantReport report() const;

 private:
  std::set<std::pair<std::size_t, int>> m_partial;
  InvariantReport m_report;
};

}  // namespace papayalift
