/// One node's way to the workers of a farm, with faults on demand.
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
  /// Never arrives; no answer.
  kDropped,
  /// Takes effect; the answer is lost.
  kAnswerLost,
  /// Takes effect and is answered; a copy arrives once the farm delivers what it holds.
  kDuplicated,
  /// Arrives once the farm delivers what it holds; no answer.
  kDelayed,
};

class FaultyGateway final : public WorkerGateway {
 public:
  explicit FaultyGateway(FakeWorkerPool& worker_pool) : m_worker_pool(worker_pool) {}

  std::vector<WorkerReply> Prepare(const std::vector<PrepareRequest>& requests) override;
  std::vector<WorkerReply> Start(const std::vector<StartRequest>& requests) override;
  std::vector<StopReply> Stop(const std::vector<StopRequest>& requests) override;
  /// NOTE: a delayed or repeated renewal is taken as one whose answer is lost.
  std::vector<RenewReply> Renew(const std::vector<RenewRequest>& requests) override;

  /// The faults of packets to `worker` to come, in order.
  void FailNext(const WorkerId& worker, PacketFault fault) { m_faults[worker].push_back(fault); }
  void Disconnect(const WorkerId& worker) { m_disconnected.insert(worker); }
  void Reconnect(const WorkerId& worker) { m_disconnected.erase(worker); }
  /// Ends all faults.
  void ClearFaults();

  /// Runs once right before the next round of starts leaves the node: a pause at the worst moment.
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
