/// Runs scheduling passes on a thread of its own, and adds sessions for the decisions on jobs that
/// this node owns.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "libraries/base/joining_thread.h"
#include "libraries/base/stop_signal.h"
#include "libraries/decisions/decision.h"
#include "libraries/decisions/zone_history.h"
#include "libraries/node/attempt_id_generator.h"
#include "libraries/node/fleet_state.h"
#include "libraries/node/gang_context.h"
#include "libraries/node/gang_start.h"
#include "libraries/node/liveness.h"
#include "libraries/node/retention.h"
#include "libraries/node/session_runner.h"

namespace papayalift {

class Scheduler {
 public:
  Scheduler(const GangContext& context, const FleetState& state, const Liveness& liveness,
            const NodeId& self, AttemptIdGenerator& namer, SessionRunner& runner);
  ~Scheduler() { Stop(); }

  void Start();
  void Stop();

  /// Why `job` waited at the last pass; nothing where it did not wait.
  std::optional<WaitDecision> WaitOf(const JobId& job) const;

  /// Runs one pass over the newest view; public for tests.
  void RunPass();

 private:
  void Run();
  bool IsOwner(const JobId& job, const FleetView& view) const;
  void ApplyStarts(const FleetView& view, const Decision& decision);
  void ApplyStops(const FleetView& view, const Decision& decision);
  void CancelQueuedJobs(const FleetView& view);
  /// Stops placements that no session works on and that can't go on: cancelled, being stopped, left
  /// reserved, or with a worker that is no longer declared.
  void RecoverPlacements(const FleetView& view);
  void StopGang(const FleetView& view, const PlacementRecord& placement, AfterStop after_stop,
                const std::string& reason);
  void RecordWaits(const Decision& decision);
  std::optional<StartPlan> MakeStartPlan(const FleetView& view, const StartDecision& start);
  static std::shared_ptr<ReservationSequencer> NewSequencer(const FleetView& view);

  const GangContext m_context;
  const FleetState& m_state;
  const Liveness& m_liveness;
  const NodeId m_self;
  AttemptIdGenerator& m_attempt_ids;
  SessionRunner& m_runner;
  Retention m_retention;
  /// When this node first saw each reservation that none of its sessions works on.
  std::map<AttemptId, Milliseconds> m_orphaned_since;
  /// As seen by this node since it started.
  ZoneHistory m_zone_history;
  /// Of the last pass that started gangs; expires once all of them have tried to reserve.
  std::weak_ptr<ReservationSequencer> m_sequencer;
  mutable std::mutex m_mutex;
  std::map<JobId, WaitDecision> m_wait_decisions;
  StopSignal m_stop;
  JoiningThread m_thread;
};

}  // namespace papayalift
