/// Follows guarantee claims, whatever the policy calls guaranteed.
#pragma once

#include <map>
#include <vector>

#include "libraries/lab/claim_report.h"
#include "libraries/lab/lab_state.h"
#include "libraries/lab/time_windows.h"

namespace papayalift {

/// Each guaranteed shape of a workspace is taken by one of its gangs that fits into it: by its
/// running gangs first, then by its waiting jobs, urgent ones before others, each in the order of
/// submission. A waiting job that takes one is a claim from then on, until all its tasks run.
class GuaranteeMeter {
 public:
  GuaranteeMeter(const Scenario& scenario, const TimeWindows& zone_changes);

  void Observe(const LabState& state);
  /// Closes the claims that are still open.
  void Finish(const LabState& state);

  ClaimReport urgent() const { return ReportOf(m_urgent); }
  ClaimReport normal() const { return ReportOf(m_normal); }

 private:
  struct Tally {
    std::vector<double> seconds;
    int missed = 0;
    int missed_in_zone_changes = 0;
  };
  using FreeShapes = std::vector<std::vector<Shape>>;

  static ClaimReport ReportOf(const Tally& tally);
  void TakeByHolders(const LabState& state, FreeShapes& free) const;
  void TakeByWaiting(const LabState& state, Urgency urgency, FreeShapes& free,
                     std::map<std::size_t, Milliseconds>& open) const;
  void Close(const LabState& state, std::size_t index, Milliseconds since);

  const RunTiming& m_timing;
  const TimeWindows& m_zone_changes;
  /// By position of the workspace, the smallest first.
  FreeShapes m_shapes;
  /// By position of the job: since when.
  std::map<std::size_t, Milliseconds> m_open;
  Tally m_urgent;
  Tally m_normal;
};

}  // namespace papayalift
