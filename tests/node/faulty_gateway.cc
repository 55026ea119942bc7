#include "node/faulty_gateway.h"

#include <string>

namespace papayalift {

namespace {

WorkerReply ReplyOf(const absl::Status& status) {
  WorkerReply reply;
  reply.kind = status.ok() ? ReplyKind::kGranted : ReplyKind::kRefused;
  reply.reason = std::string(status.message());
  return reply;
}

template <typename Reply>
Reply Unanswered(ReplyKind kind) {
  Reply reply;
  reply.kind = kind;
  return reply;
}

}  // namespace

template <typename Reply, typename Request, typename Effect>
std::vector<Reply> FaultyGateway::Send(const std::vector<Request>& requests, const Effect& effect) {
  std::vector<Reply> replies;
  for (const Request& request : requests) {
    const WorkerId& worker = request.worker.id;
    if (m_disconnected.contains(worker) || request.worker.address.empty()) {
      replies.push_back(Unanswered<Reply>(ReplyKind::kNotSent));
      continue;
    }
    switch (NextFault(worker)) {
      case PacketFault::kNone:
        replies.push_back(effect(request));
        break;
      case PacketFault::kDropped:
        replies.push_back(Unanswered<Reply>(ReplyKind::kUnclear));
        break;
      case PacketFault::kAnswerLost:
        effect(request);
        replies.push_back(Unanswered<Reply>(ReplyKind::kUnclear));
        break;
      case PacketFault::kDuplicated:
        replies.push_back(effect(request));
        m_worker_pool.Delay(worker, [effect, request] { effect(request); });
        break;
      case PacketFault::kDelayed:
        m_worker_pool.Delay(worker, [effect, request] { effect(request); });
        replies.push_back(Unanswered<Reply>(ReplyKind::kUnclear));
        break;
    }
  }
  return replies;
}

std::vector<WorkerReply> FaultyGateway::Prepare(const std::vector<PrepareRequest>& requests) {
  FakeWorkerPool& worker_pool = m_worker_pool;
  return Send<WorkerReply>(requests, [&worker_pool](const PrepareRequest& request) {
    return ReplyOf(worker_pool.Prepare(request));
  });
}

std::vector<WorkerReply> FaultyGateway::Start(const std::vector<StartRequest>& requests) {
  if (const std::function<void()> action = std::exchange(m_before_next_start, nullptr)) {
    action();
  }
  FakeWorkerPool& worker_pool = m_worker_pool;
  return Send<WorkerReply>(requests, [&worker_pool](const StartRequest& request) {
    return ReplyOf(worker_pool.Start(request));
  });
}

std::vector<StopReply> FaultyGateway::Stop(const std::vector<StopRequest>& requests) {
  FakeWorkerPool& worker_pool = m_worker_pool;
  return Send<StopReply>(requests, [&worker_pool](const StopRequest& request) {
    return StopReply{ReplyKind::kGranted, worker_pool.Stop(request)};
  });
}

std::vector<RenewReply> FaultyGateway::Renew(const std::vector<RenewRequest>& requests) {
  std::vector<RenewReply> replies;
  for (const RenewRequest& request : requests) {
    const WorkerId& worker = request.worker.id;
    const bool cut = m_disconnected.contains(worker) || request.worker.address.empty();
    const PacketFault fault = cut ? PacketFault::kDropped : NextFault(worker);
    RenewReply reply;
    reply.kind = fault == PacketFault::kNone ? ReplyKind::kGranted : ReplyKind::kUnclear;
    if (fault != PacketFault::kDropped) {
      reply.reports = m_worker_pool.Renew(request);
    }
    if (fault != PacketFault::kNone) {
      reply.reports.clear();
    }
    replies.push_back(reply);
  }
  return replies;
}

void FaultyGateway::ClearFaults() {
  m_faults.clear();
  m_disconnected.clear();
  m_before_next_start = nullptr;
}

PacketFault FaultyGateway::NextFault(const WorkerId& worker) {
  std::deque<PacketFault>& faults = m_faults[worker];
  if (faults.empty()) {
    return PacketFault::kNone;
  }
  const PacketFault fault = faults.front();
  faults.pop_front();
  return fault;
}

}  // namespace papayalift
