#include "libraries/calls/call_router.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/calls/call_codec.h"

namespace papayalift {

namespace {

constexpr int kMaxTries = 4;
/// One retry for every ten calls.
constexpr double kRetryTokensPerCall = 0.1;
constexpr double kMaxRetryTokens = 20.0;
/// A ticket is valid for 1.5 s; one older than this is replaced before use.
constexpr Milliseconds kTicketRefreshAge{1'000};

HttpCall CallOf(const MinionSpec& minion, const std::string& path, std::string body,
                Milliseconds limit) {
  HttpCall call;
  call.url = fmt::format("http://{}{}", minion.address, path);
  call.body = std::move(body);
  call.timeout = std::max(limit, Milliseconds(1));
  return call;
}

/// This node's share of the connections to one minion; all live nodes have equal shares.
int ConnectionShareOf(const MinionSpec& minion, int live_nodes) {
  return std::max(1, minion.connections / std::max(1, live_nodes));
}

}  // namespace

CallRouter::CallRouter(const Clock& clock, ZoneGate& gate, std::shared_ptr<HttpClient> client,
                       Metrics& metrics, std::uint64_t seed, const CallPolicy& policy)
    : m_clock(clock),
      m_gate(gate),
      m_client(std::move(client)),
      m_metrics(metrics),
      m_choice(policy.choice),
      m_budget(policy.budget),
      m_random(seed),
      m_retry_tokens(kMaxRetryTokens) {}

CallResult CallRouter::Route(const CallRequest& request, const ServiceSpec& service,
                             int live_nodes) {
  const Milliseconds deadline = m_clock.Now() + request.limit;
  CallResult result;
  result.request_id = request.request_id;
  result.reason = "the call's time limit has passed";
  AddRetryTokens();
  for (int tries = 0; tries < kMaxTries && m_clock.Now() < deadline; ++tries) {
    if (tries > 0 && !SpendRetryToken()) {
      break;
    }
    const MinionSpec* const minion = ChooseMinion(service, live_nodes, result.reason);
    if (minion == nullptr) {
      break;
    }
    const TryResult tried = TryMinion(request, *minion, deadline, result);
    m_minions.EndCall(minion->id);
    const bool may_retry =
        tried == TryResult::kRefused ||
        (tried == TryResult::kUnclear && request.idempotency == Idempotency::kIdempotent);
    if (!may_retry) {
      break;
    }
  }
  m_metrics.Increment(
      fmt::format("papayalift_calls_total{{verdict=\"{}\"}}", VerdictText(result.verdict)));
  return result;
}

const MinionSpec* CallRouter::ChooseMinion(const ServiceSpec& service, int live_nodes,
                                           std::string& reason) {
  std::vector<const MinionSpec*> candidates;
  for (const MinionSpec& minion : service.minions) {
    const bool takes_work = m_vms == nullptr || m_vms->TakesWork(minion.id.text());
    if (takes_work && m_gate.Admit(minion.zone) == ZoneAdmission::kOpen) {
      candidates.push_back(&minion);
    }
  }
  if (candidates.empty()) {
    reason = fmt::format("service '{}' has no available minion", service.id.text());
    return nullptr;
  }
  std::erase_if(candidates, [this, live_nodes](const MinionSpec* minion) {
    return m_minions.Outstanding(minion->id) >= ConnectionShareOf(*minion, live_nodes);
  });
  if (candidates.empty()) {
    reason = fmt::format("every minion of service '{}' has reached this node's connection limit",
                         service.id.text());
    return nullptr;
  }
  const MinionSpec* const chosen = PickMinion(candidates);
  m_minions.BeginCall(chosen->id);
  return chosen;
}

const MinionSpec* CallRouter::PickMinion(const std::vector<const MinionSpec*>& candidates) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  const MinionSpec* const first = candidates[pick(m_random)];
  if (m_choice == MinionChoice::kRandom) {
    return first;
  }
  const MinionSpec* const second = candidates[pick(m_random)];
  return m_minions.Load(second->id) < m_minions.Load(first->id) ? second : first;
}

CallRouter::TryResult CallRouter::TryMinion(const CallRequest& request, const MinionSpec& minion,
                                            Milliseconds deadline, CallResult& result) {
  const absl::Status ticket_status = EnsureTicket(minion, deadline - m_clock.Now());
  if (!ticket_status.ok()) {
    result.reason = std::string(ticket_status.message());
    return TryResult::kRefused;
  }
  MinionCall call;
  call.request_id = request.request_id;
  call.ticket = m_minions.Ticket(minion.id).text;
  call.payload = request.payload;
  const Milliseconds sent_at = m_clock.Now();
  call.limit = std::max(deadline - sent_at, Milliseconds(1));
  HttpCall http = CallOf(minion, "/v1/call", EncodeMinionCall(call), deadline - sent_at);
  // Connecting can take long, so the zone is checked again right before the first byte is sent.
  http.may_send = [this, &minion] { return m_gate.Admit(minion.zone) == ZoneAdmission::kOpen; };
  const HttpOutcome outcome = m_client->Send(http);
  if (outcome.result == HttpCallResult::kNotSent) {
    result.reason = outcome.error;
    return TryResult::kRefused;
  }
  const absl::StatusOr<MinionAnswer> answer = DecodeMinionAnswer(outcome.body);
  const bool matched = outcome.result == HttpCallResult::kAnswered && answer.ok() &&
                       answer->request_id == request.request_id;
  if (!matched) {
    result.verdict = Verdict::kMayHaveRun;
    result.reason =
        outcome.error.empty() ? "the answer is malformed or has another request id" : outcome.error;
    return TryResult::kUnclear;
  }
  m_minions.RecordReport(minion.id, MinionTicket{answer->ticket, sent_at}, answer->busy_slots);
  if (outcome.status != HttpStatus::kOk) {
    result.reason = answer->refusal;
    return TryResult::kRefused;
  }
  result.verdict = Verdict::kRan;
  result.result = answer->result;
  result.reason.clear();
  return TryResult::kDone;
}

absl::Status CallRouter::EnsureTicket(const MinionSpec& minion, Milliseconds limit) {
  const MinionTicket known = m_minions.Ticket(minion.id);
  const Milliseconds requested_at = m_clock.Now();
  if (!known.text.empty() && requested_at - known.requested_at < kTicketRefreshAge) {
    return absl::OkStatus();
  }
  const HttpOutcome outcome = m_client->Send(CallOf(minion, "/v1/report", "{}", limit));
  const absl::StatusOr<MinionAnswer> report = DecodeMinionAnswer(outcome.body);
  if (outcome.result != HttpCallResult::kAnswered || !report.ok()) {
    return absl::UnavailableError(
        fmt::format("can't get a ticket from minion '{}': {}", minion.id.text(), outcome.error));
  }
  m_minions.RecordReport(minion.id, MinionTicket{report->ticket, requested_at}, report->busy_slots);
  return absl::OkStatus();
}

bool CallRouter::SpendRetryToken() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_budget == RetryBudget::kLimited && m_retry_tokens < 1) {
    m_metrics.Increment("papayalift_call_retries_denied_total");
    return false;
  }
  m_retry_tokens -= 1;
  m_metrics.Increment("papayalift_call_retries_total");
  return true;
}

void CallRouter::AddRetryTokens() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_retry_tokens = std::min(kMaxRetryTokens, m_retry_tokens + kRetryTokensPerCall);
}

}  // namespace papayalift
