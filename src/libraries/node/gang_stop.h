/// Stops a gang in any phase, then queues its job again or ends it.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libraries/node/gang_context.h"
#include "libraries/node/gang_records.h"
#include "libraries/node/gang_session.h"

namespace papayalift {

struct StopPlan {
  JobId job;
  ZoneId zone;
  AttemptId attempt;
  std::vector<WorkerShare> shares;
  AfterStop after_stop = AfterStop::kQueueAgain;
  StopMode mode = StopMode::kCheckpoint;
  std::string reason;
};

class GangStop final : public GangSession {
 public:
  static std::shared_ptr<GangStop> Create(const GangContext& context, StopPlan plan);

  const JobId& job() const override { return m_plan.job; }
  StepResult Step() override;

 private:
  enum class Phase { kMarkStopping, kStopWorkers, kFinalize };

  GangStop(const GangContext& context, StopPlan plan);

  StepResult MarkStopping();
  StepResult StopWorkers();
  StepResult Finalize();
  void MergeReport(const WorkerShare& share, const AttemptReport& report);
  JobRecord JobAfterStop(const JobRecord& before, const PlacementRecord& placement) const;

  const GangContext m_context;
  const StopPlan m_plan;
  Phase m_phase = Phase::kMarkStopping;
  /// Workers that have not yet confirmed that the gang's tasks are stopped.
  std::vector<WorkerShare> m_unconfirmed;
  StartSent m_start_sent = StartSent::kMaybe;
  EverStarted m_ever_started = EverStarted::kNo;
  /// Whether every worker that answered reports that its tasks had succeeded before the stop.
  bool m_all_succeeded = true;
  /// The earliest checkpoint of all tasks, from which the next attempt can resume.
  Milliseconds m_checkpoint{0};
  bool m_checkpoint_known = false;
  Milliseconds m_leases_lapse_at{0};
};

}  // namespace papayalift
