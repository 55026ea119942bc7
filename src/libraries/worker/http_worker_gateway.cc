#include "libraries/worker/http_worker_gateway.h"

#include <fmt/format.h>

#include <utility>

#include "libraries/worker/worker_codec.h"

namespace papayalift {

namespace {

WorkerReply ReplyFromOutcome(const HttpOutcome& outcome) {
  WorkerReply reply;
  switch (outcome.result) {
    case HttpCallResult::kNotSent:
      reply.kind = ReplyKind::kNotSent;
      reply.reason = outcome.error;
      return reply;
    case HttpCallResult::kUnclear:
      reply.kind = ReplyKind::kUnclear;
      reply.reason = outcome.error;
      return reply;
    case HttpCallResult::kAnswered:
      break;
  }
  if (outcome.status == HttpStatus::kOk) {
    reply.kind = ReplyKind::kGranted;
  } else if (outcome.status == HttpStatus::kConflict || outcome.status == HttpStatus::kNotFound ||
             outcome.status == HttpStatus::kBadRequest) {
    reply.kind = ReplyKind::kRefused;
    reply.reason = outcome.body;
  } else {
    reply.kind = ReplyKind::kUnclear;
    reply.reason = fmt::format("status {}", static_cast<int>(outcome.status));
  }
  return reply;
}

StopReply StopReplyFromOutcome(const HttpOutcome& outcome) {
  StopReply reply;
  reply.kind = ReplyFromOutcome(outcome).kind;
  if (reply.kind != ReplyKind::kGranted) {
    return reply;
  }
  const absl::StatusOr<std::vector<AttemptReport>> reports = DecodeReports(outcome.body);
  if (!reports.ok() || reports->size() != 1) {
    reply.kind = ReplyKind::kUnclear;
    return reply;
  }
  reply.report = reports->front();
  return reply;
}

RenewReply RenewReplyFromOutcome(const HttpOutcome& outcome) {
  RenewReply reply;
  reply.kind = ReplyFromOutcome(outcome).kind;
  if (reply.kind != ReplyKind::kGranted) {
    return reply;
  }
  absl::StatusOr<std::vector<AttemptReport>> reports = DecodeReports(outcome.body);
  if (!reports.ok()) {
    reply.kind = ReplyKind::kUnclear;
    return reply;
  }
  reply.reports = *std::move(reports);
  return reply;
}

template <typename Reply, typename Convert>
std::vector<Reply> ConvertAll(const std::vector<HttpOutcome>& outcomes, const Convert& convert) {
  std::vector<Reply> replies;
  replies.reserve(outcomes.size());
  for (const HttpOutcome& outcome : outcomes) {
    replies.push_back(convert(outcome));
  }
  return replies;
}

}  // namespace

HttpWorkerGateway::HttpWorkerGateway(Milliseconds limit, std::shared_ptr<HttpClient> client)
    : m_limit(limit), m_client(std::move(client)) {}

std::vector<WorkerReply> HttpWorkerGateway::Prepare(const std::vector<PrepareRequest>& requests) {
  std::vector<HttpCall> calls;
  calls.reserve(requests.size());
  for (const PrepareRequest& request : requests) {
    calls.push_back(CallOf(request.worker, "/v1/prepare", EncodePrepare(request)));
  }
  return ConvertAll<WorkerReply>(m_client->SendAll(calls), ReplyFromOutcome);
}

std::vector<WorkerReply> HttpWorkerGateway::Start(const std::vector<StartRequest>& requests) {
  std::vector<HttpCall> calls;
  calls.reserve(requests.size());
  for (const StartRequest& request : requests) {
    calls.push_back(CallOf(request.worker, "/v1/start", EncodeStart(request)));
  }
  return ConvertAll<WorkerReply>(m_client->SendAll(calls), ReplyFromOutcome);
}

std::vector<StopReply> HttpWorkerGateway::Stop(const std::vector<StopRequest>& requests) {
  std::vector<HttpCall> calls;
  calls.reserve(requests.size());
  for (const StopRequest& request : requests) {
    calls.push_back(CallOf(request.worker, "/v1/stop", EncodeStop(request)));
  }
  return ConvertAll<StopReply>(m_client->SendAll(calls), StopReplyFromOutcome);
}

std::vector<RenewReply> HttpWorkerGateway::Renew(const std::vector<RenewRequest>& requests) {
  std::vector<HttpCall> calls;
  calls.reserve(requests.size());
  for (const RenewRequest& request : requests) {
    calls.push_back(CallOf(request.worker, "/v1/renew", EncodeRenew(request)));
  }
  return ConvertAll<RenewReply>(m_client->SendAll(calls), RenewReplyFromOutcome);
}

HttpCall HttpWorkerGateway::CallOf(const WorkerTarget& worker, const std::string& path,
                                   std::string body) const {
  HttpCall call;
  call.url = fmt::format("http://{}{}", worker.address, path);
  call.body = std::move(body);
  call.timeout = m_limit;
  return call;
}

}  // namespace papayalift
