/// One node's way to the workers of a farm, with faults on demand.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "libraries/worker/worker_gateway.h"
#include "node/worker_farm.h"

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
  explicit FaultyGateway(WorkerFarm& farm) : m_farm(farm) {}

  std::vector<WorkerReply> Prepare(const std::vector<PrepareRequest>& requests) override;
  std::vector<WorkerReply> Start(const std::vector<StartRequest>& requests) override;
  std::vector<StopReply> Stop(const std::vector<StopRequest>& requests) override;
  /// NOTE: a delayed or repeated renewal is taken as one whose answer is lost.
  std::vector<RenewReply> Renew(const std::vector<RenewRequest>& requests) override;

  /// The faults of packets to `worker` to come, in order.
  void FailNext(const WorkerId& worker, PacketFault fault) { m_faults[worker].push_back(fault); }
  void Cut(const WorkerId& worker) { m_cut.insert(worker); }
  void Join(const WorkerId& worker) { m_cut.erase(worker); }
  /// Ends all faults.
  void Heal();

  /// Runs once right before the next round of starts leaves the node: a pause at the worst moment.
  void BeforeNextStart(std::function<void()> pause) { m_pause = std::move(pause); }

 private:
  template <typename Reply, typename Request, typename Effect>
  std::vector<Reply> Send(const std::vector<Request>& requests, const Effect& effect);
  PacketFault TakeFault(const WorkerId& worker);

  WorkerFarm& m_farm;
  std::map<WorkerId, std::deque<PacketFault>> m_faults;
  std::set<WorkerId> m_cut;
  std::function<void()> m_pause;
};

}  // namespace papayalift
