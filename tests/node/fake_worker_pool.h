/// The workers of a test fleet, the delayed packets to them, and a record of every start.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "libraries/model/bundle.h"
#include "stand_ins/worker/worker_agent.h"

namespace papayalift {

struct StartRecord {
  WorkerId worker;
  JobId job;
  AttemptId attempt;
  Milliseconds at{0};
};

class FakeWorkerPool {
 public:
  FakeWorkerPool(const Clock& clock, const std::vector<WorkerSpec>& workers);

  absl::Status Prepare(const PrepareRequest& request);
  absl::Status Start(const StartRequest& request);
  AttemptReport Stop(const StopRequest& request);
  std::vector<AttemptReport> Renew(const RenewRequest& request);

  /// Keeps a packet until DeliverDelayed(). A restart of the worker drops it, as it would close the
  /// connection.
  void Delay(const WorkerId& worker, std::function<void()> packet);
  void DeliverDelayed();

  /// Ends the worker's tasks and clears its memory.
  void Restart(const WorkerId& worker);

  const std::vector<StartRecord>& starts() const { return m_starts; }
  /// Attempts with a running task, and the workers that they run on.
  std::map<AttemptId, std::set<WorkerId>> RunningAttempts();
  /// Workers whose tasks of `attempt` have succeeded.
  std::set<WorkerId> SucceededWorkers(const AttemptId& attempt);
  /// Workers that were asked to prepare `attempt`.
  const std::set<WorkerId>& PreparedWorkers(const AttemptId& attempt) {
    return m_prepared[attempt];
  }
  JobId JobOf(const AttemptId& attempt) const { return m_jobs.at(attempt); }
  const std::vector<WorkerSpec>& workers() const { return m_specs; }

 private:
  struct DelayedPacket {
    WorkerId worker;
    std::function<void()> deliver;
  };

  std::unique_ptr<WorkerAgent> NewAgent(const WorkerSpec& spec) const;

  const Clock& m_clock;
  const std::vector<WorkerSpec> m_specs;
  std::map<WorkerId, std::unique_ptr<WorkerAgent>> m_agents;
  std::vector<DelayedPacket> m_delayed;
  std::map<AttemptId, JobId> m_jobs;
  std::map<AttemptId, std::set<WorkerId>> m_prepared;
  std::vector<StartRecord> m_starts;
};

}  // namespace papayalift
