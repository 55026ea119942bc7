/// A fleet small enough to check exhaustively: it keeps a snapshot and acts on decisions as the
/// node does.
#pragma once

#include <optional>
#include <vector>

#include "libraries/decisions/decision.h"
#include "libraries/decisions/policy.h"
#include "libraries/decisions/snapshot.h"

namespace papayalift {

enum class FleetEvent { kSubmit, kFinish, kStopComplete, kZoneChange, kTimeAdvance };

class RandomFleet {
 public:
  /// Zones, workers and workspaces drawn by rapidcheck; all guarantees fit the empty fleet.
  static RandomFleet Generate();

  /// One event drawn by rapidcheck.
  FleetEvent ApplyRandomEvent();
  /// A job that is inside no guarantee.
  void SubmitBorrowingJob(const Shape& shape);
  /// The first gang that is being stopped is gone and its job waits again; false where none is.
  bool CompleteStop();

  /// Marks stops and adds gangs, as the node does.
  void ApplyDecision(const Decision& decision);

  /// Whether all unused guarantees could be reclaimed now.
  bool AreGuaranteesReclaimable() const;
  bool IsPlaced(const JobId& job) const;
  const GangView* FindGang(const JobId& job) const;

  const Snapshot& snapshot() const { return m_snapshot; }

 private:
  void GenerateWorkers();
  void GenerateWorkspaces();
  void SubmitRandomJob();
  void FinishRandomGang();
  void ToggleZone();
  void AdvanceTime();
  void AddWaiting(const WorkspaceId& workspace, const Shape& shape, Urgency urgency);

  Snapshot m_snapshot;
  int m_job_count = 0;
};

/// All that a decision says, for comparing two.
std::string ToString(const Decision& decision);

}  // namespace papayalift
