/// Connects one node to the fake workers, with injected faults.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "libraries/worker/worker_gateway.h"
#include "node/fake_worker_pool.h"

namespace papayalift {

enum class PacketFault {
  kNone,
  /// Does not arrive; no reply.
  kDropped,
  /// Takes effect; the reply is lost.
  kAnswerLost,
  /// Takes effect and is answered; a copy arrives with FakeWorkerPool::DeliverDelayed().
  kDuplicated,
  /// Arrives with FakeWorkerPool::DeliverDelayed(); no reply.
  kDelayed,
};

class FaultyGateway final : public WorkerGateway {
 public:
  explicit FaultyGateway(FakeWorkerPool& worker_pool) : m_worker_pool(worker_pool) {}

  std::vector<WorkerReply> Prepare(const std::vector<PrepareRequest>& requests) override;
  std::vector<WorkerReply> Start(const std::vector<StartRequest>& requests) override;
  std::vector<StopReply> Stop(const std::vector<StopRequest>& requests) override;
  /// NOTE: a delayed or duplicated renewal is treated as one whose reply is lost.
  std::vector<RenewReply> Renew(const std::vector<RenewRequest>& requests) override;

  /// Appends the fault of a future packet to `worker`; each packet uses up one.
  void FailNext(const WorkerId& worker, PacketFault fault) { m_faults[worker].push_back(fault); }
  void Disconnect(const WorkerId& worker) { m_disconnected.insert(worker); }
  void Reconnect(const WorkerId& worker) { m_disconnected.erase(worker); }
  /// Ends all faults.
  void ClearFaults();

  /// Runs `action` once, right before the next start requests are sent. Simulates a process pause
  /// there.
  void RunBeforeNextStart(std::function<void()> action) { m_before_next_start = std::move(action); }

 private:
  template <typename Reply, typename Request, typename Effect>
  std::vector<Reply> Send(const std::vector<Request>& requests, const Effect& effect);
  PacketFault NextFault(const WorkerId& worker);

  FakeWorkerPool& m_worker_pool;
  std::map<WorkerId, std::deque<PacketFault>> m_faults;
  std::set<WorkerId> m_disconnected;
  std::function<void()> m_before_next_start;
};

}  // namespace papayalift
