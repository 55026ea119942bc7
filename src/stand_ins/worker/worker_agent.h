/// The worker's side of the protocol, on its own clock: it enforces reservations and leases, runs
/// one attempt of a job at a time, and never starts an attempt that was stopped.
#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "libraries/base/clock.h"
#include "libraries/worker/worker_messages.h"
#include "stand_ins/worker/task_script.h"

namespace papayalift {

enum class FaultMode { kNone, kFailsEverything };

class WorkerAgent {
 public:
  WorkerAgent(const Clock& clock, AcceleratorCount accelerators);

  /// Returns kAborted if the accelerators are in use, or the job or attempt is already present.
  absl::Status Prepare(const PrepareRequest& request);
  /// Returns kAborted if there is no reservation or it has expired.
  absl::Status Start(const StartRequest& request);
  AttemptReport Stop(const StopRequest& request);
  std::vector<AttemptReport> Renew(const RenewRequest& request);

  void SetFaultMode(FaultMode mode);
  /// Simulates a restart: ends all tasks and discards all attempts.
  void Forget();

  /// All attempts that were started, in order.
  std::vector<AttemptId> started() const;
  /// Attempts whose tasks are running now.
  std::vector<AttemptId> running();

 private:
  struct Attempt {
    JobId job;
    AttemptId id;
    std::vector<AcceleratorSet> tasks;
    AttemptPhase phase = AttemptPhase::kReserved;
    EverStarted ever_started = EverStarted::kNo;
    Milliseconds lease_until{0};
    Milliseconds started_at{0};
    Milliseconds resume_from{0};
    Milliseconds checkpoint{0};
    TaskScript script;
  };

  void SettleLocked();
  static void SettleRunning(Attempt& attempt, Milliseconds now);
  AcceleratorSet HeldLocked() const;
  void RememberLocked(const AttemptId& id);
  static AttemptReport ReportOf(const Attempt& attempt);

  const Clock& m_clock;
  const AcceleratorSet m_accelerators;
  mutable std::mutex m_mutex;
  std::map<AttemptId, Attempt> m_attempts;
  std::deque<AttemptId> m_finished;
  std::vector<AttemptId> m_started;
  FaultMode m_fault_mode = FaultMode::kNone;
};

}  // namespace papayalift
