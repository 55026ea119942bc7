/// Benchmarks minion selection and the retry budget against their baselines, random selection and
/// unlimited retries, over HTTP on loopback.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "libraries/base/boot_clock.h"
#include "libraries/calls/call_router.h"
#include "stand_ins/minion/minion_stand_in.h"

namespace papayalift {

namespace {

constexpr int kMinions = 10;
constexpr int kSlowMinions = 2;
constexpr int kSlots = 8;
constexpr int kCallers = 24;
constexpr int kCallsPerCaller = 100;
constexpr Milliseconds kTypicalWork{5};
constexpr Milliseconds kSlowWork{100};
constexpr std::uint64_t kSeed = 20261204;

class OpenGate final : public ZoneGate {
 public:
  ZoneAdmission Admit(const ZoneId& /*zone*/) override { return ZoneAdmission::kOpen; }
};

struct Bench {
  explicit Bench(const CallPolicy& policy)
      : router(clock, gate, std::make_shared<HttpClient>(), metrics, kSeed, policy) {
    service.id = ServiceId("previews");
    for (int index = 0; index < kMinions; ++index) {
      minions.push_back(*MinionStandIn::Create("127.0.0.1", 0, kSlots));
      MinionSpec minion;
      minion.id = MinionId("minion-" + std::to_string(index));
      minion.zone = ZoneId("zone");
      minion.address = "127.0.0.1:" + std::to_string(minions.back()->port());
      service.minions.push_back(minion);
    }
  }

  void Behave(int first, int last, const ConductOrder& order) {
    for (int index = first; index < last; ++index) {
      minions[static_cast<std::size_t>(index)]->Behave(order);
    }
  }

  void CallFrom(int caller) {
    for (int index = 0; index < kCallsPerCaller; ++index) {
      CallRequest request;
      request.request_id = std::to_string(caller) + "-" + std::to_string(index);
      request.idempotency = Idempotency::kIdempotent;
      const Milliseconds sent_at = clock.Now();
      const CallResult result = router.Route(request, service);
      ran += result.verdict == Verdict::kRan ? 1 : 0;
      const std::lock_guard<std::mutex> lock(mutex);
      latencies.push_back(clock.Now() - sent_at);
    }
  }

  void Run() {
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([this, caller] { CallFrom(caller); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    std::sort(latencies.begin(), latencies.end());
  }

  double Percentile(double fraction) const {
    const double rank = fraction * static_cast<double>(latencies.size() - 1);
    return static_cast<double>(latencies[static_cast<std::size_t>(rank)].count());
  }

  double RetriesPerCall() const {
    return static_cast<double>(metrics.counter("papayalift_call_retries_total")) /
           static_cast<double>(latencies.size());
  }

  BootClock clock;
  OpenGate gate;
  Metrics metrics;
  CallRouter router;
  std::vector<std::unique_ptr<MinionStandIn>> minions;
  ServiceSpec service;
  std::atomic<int> ran{0};
  std::mutex mutex;
  std::vector<Milliseconds> latencies;
};

void Report(benchmark::State& state, const Bench& bench) {
  state.counters["p50_ms"] = bench.Percentile(0.5);
  state.counters["p99_ms"] = bench.Percentile(0.99);
  state.counters["ran_share"] =
      static_cast<double>(bench.ran.load()) / static_cast<double>(bench.latencies.size());
  state.counters["retries_per_call"] = bench.RetriesPerCall();
}

void UnevenMinions(benchmark::State& state) {
  CallPolicy policy;
  policy.choice = state.range(0) == 2 ? MinionChoice::kTwoRandom : MinionChoice::kRandom;
  for (auto _ : state) {
    Bench bench(policy);
    ConductOrder usual;
    usual.work = kTypicalWork;
    ConductOrder slow;
    slow.work = kSlowWork;
    bench.Behave(0, kMinions, usual);
    bench.Behave(0, kSlowMinions, slow);
    bench.Run();
    Report(state, bench);
  }
}

void StormOfRefusals(benchmark::State& state) {
  CallPolicy policy;
  policy.budget = state.range(0) == 1 ? RetryBudget::kLimited : RetryBudget::kUnlimited;
  for (auto _ : state) {
    Bench bench(policy);
    ConductOrder refusing;
    refusing.conduct = Conduct::kRefuses;
    bench.Behave(0, kMinions, refusing);
    bench.Run();
    Report(state, bench);
  }
}

// The argument is the number of random choices.
BENCHMARK(UnevenMinions)
    ->ArgName("choices")
    ->Arg(1)
    ->Arg(2)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
// The argument is 1 with the budget and 0 without.
BENCHMARK(StormOfRefusals)
    ->ArgName("budget")
    ->Arg(0)
    ->Arg(1)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace papayalift

BENCHMARK_MAIN();
