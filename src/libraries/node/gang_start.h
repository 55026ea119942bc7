/// Starts all tasks of a gang or none: reserve, prepare, commit, start.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "libraries/node/gang_context.h"
#include "libraries/node/gang_records.h"
#include "libraries/node/gang_session.h"
#include "libraries/node/gang_stop.h"
#include "libraries/node/reservation_sequencer.h"

namespace papayalift {

/// A decided start, with the revisions of all records that the decision is based on.
struct StartPlan {
  Versioned<JobRecord> job;
  PlacementRecord placement;
  std::vector<WorkerShare> shares;
  /// Shared by all gangs that the same pass decided to start; never null.
  std::shared_ptr<ReservationSequencer> sequencer;
  Revision zones;
  Revision current_bundle;
};

class GangStart final : public GangSession {
 public:
  static std::shared_ptr<GangStart> Create(const GangContext& context, StartPlan plan);

  const JobId& job() const override { return m_plan.placement.job; }
  StepResult Step() override;

 private:
  enum class Phase { kReserve, kResolveReserve, kPrepare, kCommit, kResolveCommit, kStart, kUndo };

  GangStart(const GangContext& context, StartPlan plan);

  StepResult Reserve();
  StepResult AfterReserve(const TransactionOutcome& outcome);
  StepResult ResolveReserve();
  StepResult Prepare();
  StepResult Commit();
  StepResult ResolveCommit();
  StepResult Start();
  StepResult Undo();

  Transaction ReserveTransaction();
  Transaction CommitTransaction();
  StepResult GoTo(Phase phase);
  StepResult BeginUndo(const std::string& reason);
  void RecordStarted();

  const GangContext m_context;
  StartPlan m_plan;
  /// Null once this gang has tried to reserve.
  std::shared_ptr<ReservationSequencer> m_sequencer;
  Phase m_phase = Phase::kReserve;
  JobRecord m_job;
  PlacementRecord m_placement;
  Revision m_job_modified;
  Revision m_placement_modified;
  std::shared_ptr<GangStop> m_undo_stop;
  Milliseconds m_began_at;
};

}  // namespace papayalift
