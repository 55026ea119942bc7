/// Measures how guarantee claims are met, independently of which gangs the policy marks guaranteed.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "libraries/lab/claim_report.h"
#include "libraries/lab/lab_state.h"
#include "libraries/lab/time_windows.h"

namespace papayalift {

/// A job counts against the smallest guaranteed shape of its workspace that fits it. The count of
/// that shape is allocated to gangs that hold accelerators first, guaranteed or borrowed, then to
/// waiting jobs, urgent ones before others, each in the order of submission. A waiting job with an
/// allocation has an open claim until all its tasks run.
class GuaranteeMeter {
 public:
  /// `state` must outlive the meter.
  GuaranteeMeter(const LabState& state, const TimeWindows& zone_changes);

  /// Updates the open claims from the current state.
  void Observe();
  /// Closes the claims that are still open.
  void Finish();

  ClaimReport urgent() const { return ReportOf(m_urgent); }
  ClaimReport normal() const { return ReportOf(m_normal); }

 private:
  struct Tally {
    std::vector<double> seconds;
    int missed = 0;
    int missed_in_zone_changes = 0;
    int missed_at_own_quota = 0;
  };
  struct OpenClaim {
    Milliseconds since{0};
    bool limited_by_quota = false;
  };
  /// By job index.
  using OpenClaims = std::map<std::size_t, OpenClaim>;
  /// Unallocated count by workspace index and shape.
  using FreeShapes = std::map<std::pair<std::size_t, Shape>, int>;

  static ClaimReport ReportOf(const Tally& tally);
  bool AllocateShape(std::size_t index, FreeShapes& free) const;
  void AllocateToWaiting(Urgency urgency, FreeShapes& free, OpenClaims& open) const;
  /// Held accelerators by workspace index.
  std::vector<AcceleratorCount> HeldByWorkspace() const;
  void RecordQuotaLimits(OpenClaims& open) const;
  void Close(std::size_t index, const OpenClaim& claim);

  const LabState& m_state;
  const RunTiming& m_timing;
  const TimeWindows& m_zone_changes;
  FreeShapes m_guaranteed;
  /// The guaranteed shape that each job counts against, by job index.
  std::vector<std::optional<Shape>> m_guaranteed_shapes;
  OpenClaims m_open;
  Tally m_urgent;
  Tally m_normal;
};

}  // namespace papayalift
