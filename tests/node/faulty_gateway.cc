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
    if (m_cut.contains(worker) || request.worker.address.empty()) {
      replies.push_back(Unanswered<Reply>(ReplyKind::kNotSent));
      continue;
    }
    switch (TakeFault(worker)) {
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
        m_farm.Hold(worker, [effect, request] { effect(request); });
        break;
      case PacketFault::kDelayed:
        m_farm.Hold(worker, [effect, request] { effect(request); });
        replies.push_back(Unanswered<Reply>(ReplyKind::kUnclear));
        break;
    }
  }
  return replies;
}

std::vector<WorkerReply> FaultyGateway::Prepare(const std::vector<PrepareRequest>& requests) {
  WorkerFarm& farm = m_farm;
  return Send<WorkerReply>(
      requests, [&farm](const PrepareRequest& request) { return ReplyOf(farm.Prepare(request)); });
}

std::vector<WorkerReply> FaultyGateway::Start(const std::vector<StartRequest>& requests) {
  if (const std::function<void()> pause = std::exchange(m_pause, nullptr)) {
    pause();
  }
  WorkerFarm& farm = m_farm;
  return Send<WorkerReply>(
      requests, [&farm](const StartRequest& request) { return ReplyOf(farm.Start(request)); });
}

std::vector<StopReply> FaultyGateway::Stop(const std::vector<StopRequest>& requests) {
  WorkerFarm& farm = m_farm;
  return Send<StopReply>(requests, [&farm](const StopRequest& request) {
    return StopReply{ReplyKind::kGranted, farm.Stop(request)};
  });
}

std::vector<RenewReply> FaultyGateway::Renew(const std::vector<RenewRequest>& requests) {
  std::vector<RenewReply> replies;
  for (const RenewRequest& request : requests) {
    const WorkerId& worker = request.worker.id;
    const bool cut = m_cut.contains(worker) || request.worker.address.empty();
    const PacketFault fault = cut ? PacketFault::kDropped : TakeFault(worker);
    RenewReply reply;
    reply.kind = fault == PacketFault::kNone ? ReplyKind::kGranted : ReplyKind::kUnclear;
    if (fault != PacketFault::kDropped) {
      reply.reports = m_farm.Renew(request);
    }
    if (fault != PacketFault::kNone) {
      reply.reports.clear();
    }
    replies.push_back(reply);
  }
  return replies;
}

void FaultyGateway::Heal() {
  m_faults.clear();
  m_cut.clear();
  m_pause = nullptr;
}

PacketFault FaultyGateway::TakeFault(const WorkerId& worker) {
  std::deque<PacketFault>& faults = m_faults[worker];
  if (faults.empty()) {
    return PacketFault::kNone;
  }
  const PacketFault fault = faults.front();
  faults.pop_front();
  return fault;
}

}  // namespace papayalift
