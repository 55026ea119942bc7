#include "stand_ins/platform/platform_stand_in.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "libraries/http/path_route.h"
#include "stand_ins/platform/gateway_requests.h"

namespace papayalift {

namespace {

constexpr Milliseconds kProgressInterval{1'000};
constexpr Milliseconds kStopPollInterval{200};
constexpr std::size_t kLargestRequestBytes = 4UL * 1024 * 1024;
constexpr unsigned int kConnections = 1'024;

HttpResponse BadRequest(const absl::Status& status) {
  HttpResponse response;
  response.status = HttpStatus::kBadRequest;
  response.body = std::string(status.message());
  return response;
}

HttpResponse OkResponse(std::string body) {
  HttpResponse response;
  response.body = std::move(body);
  return response;
}

}  // namespace

absl::StatusOr<std::unique_ptr<PlatformStandIn>> PlatformStandIn::Create(const std::string& address,
                                                                         std::uint16_t port) {
  std::unique_ptr<PlatformStandIn> platform(new PlatformStandIn);
  HttpServerLimits limits;
  limits.body_bytes = kLargestRequestBytes;
  limits.connections = kConnections;
  FaultyHandler* const faults = &platform->m_faults;
  absl::StatusOr<std::unique_ptr<HttpServer>> server =
      HttpServer::Create(address, port, limits,
                         [faults](const HttpRequest& request) { return faults->Handle(request); });
  if (!server.ok()) {
    return server.status();
  }
  platform->m_server = *std::move(server);
  return platform;
}

PlatformStandIn::~PlatformStandIn() {
  m_stopping = true;
  m_faults.Clear();
  m_server.reset();
}

HttpResponse PlatformStandIn::Handle(const HttpRequest& request) {
  static constexpr std::array<PathRoute<PlatformStandIn>, 8> kRoutes{{
      {"/v3/kv/range", &PlatformStandIn::HandleRange},
      {"/v3/kv/txn", &PlatformStandIn::HandleTransaction},
      {"/v3/watch", &PlatformStandIn::HandleWatch},
      {"/control/watches/break", &PlatformStandIn::BreakWatches},
      {"/control/compact", &PlatformStandIn::Compact},
      {"/control/record", &PlatformStandIn::HandleRecord},
      {"/v1/members", &PlatformStandIn::ShowMembers},
      {"/control/members", &PlatformStandIn::SetMembers},
  }};
  return RouteByPath(*this, kRoutes, request);
}

HttpResponse PlatformStandIn::HandleRange(const HttpRequest& request) {
  ++m_ranges;
  const absl::StatusOr<KeyRange> range = ReadRangeRequest(request.body);
  if (!range.ok()) {
    return BadRequest(range.status());
  }
  return OkResponse(WriteRangeAnswer(*m_store.Range(*range)));
}

HttpResponse PlatformStandIn::HandleTransaction(const HttpRequest& request) {
  ++m_transactions;
  const absl::StatusOr<GatewayTransaction> parsed = ReadTransactionRequest(request.body);
  if (!parsed.ok()) {
    return BadRequest(parsed.status());
  }
  if (!parsed->reads.empty()) {
    const std::vector<RangeAnswer> answers = *m_store.RangeAll(parsed->reads);
    TransactionOutcome outcome;
    outcome.result = TransactionResult::kApplied;
    outcome.revision = answers.front().revision;
    return OkResponse(WriteTransactionAnswer(outcome, answers));
  }
  return OkResponse(WriteTransactionAnswer(m_store.Commit(parsed->transaction), {}));
}

HttpResponse PlatformStandIn::HandleWatch(const HttpRequest& request) {
  ++m_watches;
  const absl::StatusOr<GatewayWatch> watch = ReadWatchRequest(request.body);
  if (!watch.ok()) {
    return BadRequest(watch.status());
  }
  HttpResponse response;
  response.stream = [this, range = watch->range, next = watch->start, compacted = false,
                     generation = m_watch_generation.load()](std::string& piece) mutable {
    if (compacted) {
      return false;
    }
    Milliseconds waited{0};
    while (!m_stopping && generation == m_watch_generation) {
      const absl::StatusOr<WatchBatch> batch =
          m_store.WaitForChanges(range, next, kStopPollInterval);
      if (!batch.ok()) {
        compacted = true;
        piece = WriteCompactedWatch();
        return true;
      }
      next = std::max(next, batch->revision.Next());
      waited += kStopPollInterval;
      if (!batch->events.empty() || waited >= kProgressInterval) {
        piece = WriteWatchBatch(*batch);
        return true;
      }
    }
    return false;
  };
  return response;
}

HttpResponse PlatformStandIn::BreakWatches(const HttpRequest& /*request*/) {
  ++m_watch_generation;
  return OkResponse("{}");
}

HttpResponse PlatformStandIn::Compact(const HttpRequest& /*request*/) {
  m_store.Compact(m_store.revision());
  return OkResponse("{}");
}

HttpResponse PlatformStandIn::HandleRecord(const HttpRequest& /*request*/) {
  return OkResponse(fmt::format(R"({{"ranges":{},"transactions":{},"watches":{}}})",
                                m_ranges.load(), m_transactions.load(), m_watches.load()));
}

}  // namespace papayalift
