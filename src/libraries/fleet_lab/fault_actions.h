/// Executes the steps of a fault file and reverts them.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "libraries/fleet_lab/call_load.h"
#include "libraries/fleet_lab/fault_step.h"
#include "libraries/fleet_lab/job_load.h"
#include "libraries/fleet_lab/lab_context.h"

namespace papayalift {

class FaultActions {
 public:
  FaultActions(LabContext& context, CallLoad& calls, JobLoad& jobs);

  /// Selects the step's targets and stores them for `End` of the same step.
  absl::Status Begin(std::size_t index, const FaultStep& step);
  absl::Status End(std::size_t index, const FaultStep& step);

  /// Rolls the fleet's own bundle if none is in force.
  absl::Status PrepareBundle();
  /// Reverts the remaining effects: stopped processes, stand-in faults, zones taken out.
  void RestoreAll();

 private:
  using Action = absl::Status (FaultActions::*)(const FaultStep&);

  absl::Status Kill(const FaultStep& step);
  absl::Status Freeze(const FaultStep& step);
  absl::Status Unfreeze(const FaultStep& step);
  absl::Status StopGracefully(const FaultStep& step);
  absl::Status InjectLinkFaults(const FaultStep& step);
  absl::Status ClearLinkFaults(const FaultStep& step);
  absl::Status TakeStoreAway(const FaultStep& step);
  absl::Status BringStoreBack(const FaultStep& step);
  absl::Status BreakWatches(const FaultStep& step);
  absl::Status Compact(const FaultStep& step);
  absl::Status ChangeConduct(const FaultStep& step);
  absl::Status RestoreConduct(const FaultStep& step);
  absl::Status Forget(const FaultStep& step);
  absl::Status TakeZoneOut(const FaultStep& step);
  absl::Status BringZoneBack(const FaultStep& step);
  absl::Status RaceZones(const FaultStep& step);
  absl::Status RaceBundles(const FaultStep& step);
  absl::Status Retire(const FaultStep& step);
  absl::Status EndRetirement(const FaultStep& step);
  absl::Status StartCallStorm(const FaultStep& step);
  absl::Status EndCallStorm(const FaultStep& step);
  absl::Status StormOfCancellations(const FaultStep& step);
  absl::Status Reclaim(const FaultStep& step);
  absl::Status Nothing(const FaultStep& step);

  static Action ActionOf(FaultAction action);
  static Action UndoActionOf(FaultAction action);

  absl::Status ForEachTarget(const FaultStep& step,
                             const std::function<absl::Status(const std::string&)>& act) const;
  bool IsNode(const std::string& name) const;
  /// Retries the change of a zone through any healthy node until one accepts it.
  absl::Status ChangeZone(const ZoneId& zone, const std::string& state);
  /// Submits, signs off and rolls a bundle; records its version and when the roll was accepted.
  absl::Status RollBundle(const std::string& text);
  absl::StatusOr<BundleRecord> SignedOff(const std::string& operator_name, const std::string& text);
  std::string BundleWithout(const std::vector<std::string>& targets) const;

  LabContext& m_context;
  CallLoad& m_calls;
  JobLoad& m_jobs;
  std::mt19937_64 m_random;
  std::map<std::size_t, std::vector<std::string>> m_picked;
  std::int64_t m_bundles_written = 0;
};

}  // namespace papayalift
