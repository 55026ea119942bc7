/// Tells why ready steps wait: log lines, counters and the longest wait by reason.
#pragma once

#include <array>
#include <map>
#include <utility>

#include "libraries/leader/plan_inputs.h"
#include "libraries/metrics/metrics.h"
#include "libraries/planner/plan.h"
#include "libraries/planner/plan_snapshot.h"

namespace papayalift {

/// How long a ready step has waited, and for what.
struct StepWait {
  WaitReason reason = WaitReason::kNoCapacity;
  Milliseconds ready_since{0};
  /// Since when it has waited for this reason.
  Milliseconds reason_since{0};
  /// The reasons for which a line was written.
  std::array<bool, kWaitReasons> is_logged{};
};

/// Writes one line for each reason once a step has waited for a second, so that the many short
/// waits of a busy fleet cost nothing.
class WaitMonitor {
 public:
  explicit WaitMonitor(Metrics& metrics) : m_metrics(metrics) {}

  /// Records the outcome of a planning pass. A step that is not among the waits waits no more.
  void Record(const std::vector<PlannedWait>& waits, const PlanInputs& inputs,
              const std::vector<PlanWorkspace>& workspaces, Milliseconds now);

  /// The wait that the last pass has shown for the step; nullptr if there is none.
  const StepWait* Find(const JobId& job, int step) const;

 private:
  using StepName = std::pair<JobId, int>;

  void LogIfLong(const PlannedWait& planned, StepWait& wait, const PlanInputs& inputs,
                 const std::vector<PlanWorkspace>& workspaces, Milliseconds now);
  void ExportGauges(Milliseconds now);

  Metrics& m_metrics;
  std::map<StepName, StepWait> m_waits;
  std::array<bool, kWaitReasons> m_is_exported{};
};

}  // namespace papayalift
