/// A small random fleet for property tests: keeps a snapshot, draws events and applies decisions as
/// a node does.
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

  /// Applies one event drawn by rapidcheck.
  FleetEvent ApplyRandomEvent();
  /// Submits a job of a workspace without guarantees.
  void SubmitBorrowingJob(const Shape& shape);
  /// Removes the first gang that is being stopped and queues its job again; false if there is none.
  bool CompleteStop();

  /// Marks stopped gangs as stopping and adds started ones, as a node does.
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

/// The whole decision as text, for comparisons.
std::string ToString(const Decision& decision);

}  // namespace papayalift
