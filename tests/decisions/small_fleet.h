/// A fleet small enough to check exhaustively: it keeps a snapshot and acts on decisions as the
/// node does.
#pragma once

#include <optional>
#include <vector>

#include "libraries/decisions/decision.h"
#include "libraries/decisions/policy.h"
#include "libraries/decisions/snapshot.h"

namespace papayalift {

enum class FleetEvent { kSubmit, kFinish, kStopped, kZoneChange, kTime };

class SmallFleet {
 public:
  /// Zones, workers and workspaces drawn by rapidcheck; all guarantees fit the empty fleet.
  static SmallFleet Generate();

  /// One event drawn by rapidcheck.
  FleetEvent Happen();
  /// A job that is inside no guarantee.
  void SubmitBorrowing(const Shape& shape);
  /// The first gang that is being stopped is gone and its job waits again; false where none is.
  bool FinishStop();

  /// Marks stops and adds gangs, as the node does.
  void Apply(const Decision& decision);

  /// Whether all unused guarantees could be reclaimed now.
  bool IsReclaimable() const;
  bool IsPlaced(const JobId& job) const;
  const GangView* FindGang(const JobId& job) const;

  const Snapshot& snapshot() const { return m_snapshot; }

 private:
  void GenerateWorkers();
  void GenerateWorkspaces();
  void Submit();
  void Finish();
  void ChangeZone();
  void PassTime();
  void AddWaiting(const WorkspaceId& workspace, const Shape& shape, Urgency urgency);

  Snapshot m_snapshot;
  int m_jobs = 0;
};

/// All that a decision says, for comparing two.
std::string TextOf(const Decision& decision);

}  // namespace papayalift
