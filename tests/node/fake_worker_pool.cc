#include "node/fake_worker_pool.h"

#include <algorithm>
#include <utility>

namespace papayalift {

FakeWorkerPool::FakeWorkerPool(const Clock& clock, const std::vector<WorkerSpec>& workers)
    : m_clock(clock), m_specs(workers) {
  for (const WorkerSpec& spec : m_specs) {
    m_agents[spec.id] = NewAgent(spec);
  }
}

std::unique_ptr<WorkerAgent> FakeWorkerPool::NewAgent(const WorkerSpec& spec) const {
  return std::make_unique<WorkerAgent>(m_clock, spec.accelerators);
}

absl::Status FakeWorkerPool::Prepare(const PrepareRequest& request) {
  m_jobs[request.attempt] = request.job;
  m_prepared[request.attempt].insert(request.worker.id);
  return m_agents.at(request.worker.id)->Prepare(request);
}

absl::Status FakeWorkerPool::Start(const StartRequest& request) {
  WorkerAgent& agent = *m_agents.at(request.worker.id);
  const std::size_t before = agent.started().size();
  absl::Status status = agent.Start(request);
  if (agent.started().size() > before) {
    m_starts.push_back(
        StartRecord{request.worker.id, m_jobs.at(request.attempt), request.attempt, m_clock.Now()});
  }
  return status;
}

AttemptReport FakeWorkerPool::Stop(const StopRequest& request) {
  return m_agents.at(request.worker.id)->Stop(request);
}

std::vector<AttemptReport> FakeWorkerPool::Renew(const RenewRequest& request) {
  return m_agents.at(request.worker.id)->Renew(request);
}

void FakeWorkerPool::Delay(const WorkerId& worker, std::function<void()> packet) {
  m_delayed.push_back(DelayedPacket{worker, std::move(packet)});
}

void FakeWorkerPool::DeliverDelayed() {
  const std::vector<DelayedPacket> held = std::exchange(m_delayed, {});
  for (const DelayedPacket& packet : held) {
    packet.deliver();
  }
}

void FakeWorkerPool::Restart(const WorkerId& worker) {
  std::erase_if(m_delayed,
                [&worker](const DelayedPacket& packet) { return packet.worker == worker; });
  const auto spec = std::find_if(m_specs.begin(), m_specs.end(),
                                 [&worker](const WorkerSpec& each) { return each.id == worker; });
  m_agents[worker] = NewAgent(*spec);
}

std::map<AttemptId, std::set<WorkerId>> FakeWorkerPool::RunningAttempts() {
  std::map<AttemptId, std::set<WorkerId>> running;
  for (const auto& [worker, agent] : m_agents) {
    for (const AttemptId& attempt : agent->running()) {
      running[attempt].insert(worker);
    }
  }
  return running;
}

std::set<WorkerId> FakeWorkerPool::SucceededWorkers(const AttemptId& attempt) {
  std::set<WorkerId> succeeded;
  for (const auto& [worker, agent] : m_agents) {
    RenewRequest request;
    request.attempts.push_back(attempt);
    // NOTE: renewing a running attempt would extend its lease, so only ended ones are queried.
    const std::vector<AttemptId> running = agent->running();
    const bool runs = std::find(running.begin(), running.end(), attempt) != running.end();
    if (!runs && agent->Renew(request).front().phase == AttemptPhase::kSucceeded) {
      succeeded.insert(worker);
    }
  }
  return succeeded;
}

}  // namespace papayalift
