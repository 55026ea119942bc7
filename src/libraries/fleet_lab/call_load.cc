#include "libraries/fleet_lab/call_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <random>

namespace papayalift {

namespace {

constexpr Milliseconds kIdlePollInterval{50};
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
/// Bounds the backlog that is sent in a burst after all callers were blocked.
constexpr std::chrono::microseconds kMaxCatchUp{100'000};

std::int64_t Microseconds(Milliseconds time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

}  // namespace

CallLoad::CallLoad(LabContext& context, const LoadSpec& spec)
    : m_context(context), m_spec(spec), m_rate(spec.calls_per_second) {}

CallLoad::~CallLoad() { Join(); }

void CallLoad::Start() {
  for (int caller = 0; caller < m_spec.callers; ++caller) {
    m_threads.push_back(std::make_unique<JoiningThread>());
    m_threads.back()->Start([this, caller] { Run(caller); });
  }
}

void CallLoad::Join() {
  for (const std::unique_ptr<JoiningThread>& thread : m_threads) {
    thread->Join();
  }
  m_threads.clear();
}

void CallLoad::Run(int caller) {
  std::mt19937_64 random(m_context.seed + static_cast<std::uint64_t>(caller) + 1);
  while (WaitForTurn()) {
    CallOnce(random);
  }
}

bool CallLoad::WaitForTurn() {
  int rate = m_rate.load();
  while (rate <= 0 && !m_context.stop.raised()) {
    m_context.stop.WaitFor(kIdlePollInterval);
    rate = m_rate.load();
  }
  if (m_context.stop.raised()) {
    return false;
  }
  const std::int64_t now = Microseconds(m_context.clock.Now());
  const std::int64_t step = kMicrosecondsPerSecond / rate;
  std::int64_t due = m_next_due_us.load();
  while (
      !m_next_due_us.compare_exchange_weak(due, std::max(due, now - kMaxCatchUp.count()) + step)) {
  }
  if (due > now) {
    m_context.stop.WaitFor(std::chrono::ceil<Milliseconds>(std::chrono::microseconds(due - now)));
  }
  return !m_context.stop.raised();
}

void CallLoad::CallOnce(std::mt19937_64& random) {
  std::bernoulli_distribution repeatable(m_spec.idempotent_share);
  const std::int64_t number = m_next_id.fetch_add(1);
  CallRequest request;
  request.request_id = fmt::format("{}-call-{}", m_context.run_name, number);
  request.idempotency = repeatable(random) ? Idempotency::kIdempotent : Idempotency::kNonIdempotent;
  request.limit = m_spec.call_limit;
  request.payload = fmt::format("preview {} of {:x}", number, random());
  CallObservation seen;
  seen.request_id = request.request_id;
  seen.idempotency = request.idempotency;
  seen.sent_at = m_context.clock.Now();
  m_context.api.Call(m_context.node_health.Pick(), m_spec.service, request, seen);
  seen.took = m_context.clock.Now() - seen.sent_at;
  m_context.log.Add(&Observations::calls, std::move(seen));
}

}  // namespace papayalift
