#include "libraries/fleet_lab/fleet_lab.h"

#include <algorithm>

#include "libraries/base/try.h"
#include "libraries/fleet_lab/call_load.h"
#include "libraries/fleet_lab/fault_actions.h"
#include "libraries/fleet_lab/fault_runner.h"
#include "libraries/fleet_lab/fleet_watcher.h"
#include "libraries/fleet_lab/job_load.h"
#include "libraries/fleet_lab/lab_context.h"

namespace papayalift {

namespace {

constexpr Milliseconds kSettlePollInterval{500};
constexpr Milliseconds kBundleInForceTimeout{10'000};
constexpr double kMillisecondsPerSecond = 1'000.0;

using CountersByNode = std::map<std::string, std::map<std::string, double>>;

CountersByNode CountersOf(LabContext& context) {
  CountersByNode counters;
  for (const FleetNode& node : context.fleet.nodes()) {
    counters[node.id.text()] = context.api.Counters(node, {"store", "peer", "retries"});
  }
  return counters;
}

CountersByNode RatesOf(const CountersByNode& before, const CountersByNode& after,
                       Milliseconds lasted) {
  CountersByNode rates;
  for (const auto& [node, counters] : after) {
    const auto earlier = before.find(node);
    for (const auto& [name, value] : counters) {
      const bool known = earlier != before.end() && earlier->second.count(name) > 0;
      const double base = known ? earlier->second.at(name) : 0.0;
      rates[node][name] =
          (value - base) * kMillisecondsPerSecond / static_cast<double>(lasted.count());
    }
  }
  return rates;
}

std::int64_t StoreCalls(LabContext& context) {
  std::int64_t calls = 0;
  for (const auto& [kind, count] : context.controls.PlatformCalls()) {
    calls += count;
  }
  return calls;
}

/// Waits until every node that answers has a bundle in force.
void WaitForBundle(LabContext& context) {
  const Milliseconds deadline = context.clock.Now() + kBundleInForceTimeout;
  for (const FleetNode& node : context.fleet.nodes()) {
    while (context.clock.Now() < deadline && context.api.Counters(node, {"papayalift"}).empty()) {
      context.stop.WaitFor(kSettlePollInterval);
    }
  }
  context.stop.WaitFor(Milliseconds(2'000));
}

/// Waits until all jobs have ended.
void Settle(LabContext& context, JobLoad& jobs, Milliseconds limit) {
  const StopSignal never;
  const Milliseconds deadline = context.clock.Now() + limit;
  while (jobs.open() > 0 && context.clock.Now() < deadline) {
    never.WaitFor(kSettlePollInterval);
  }
  jobs.Follow(JobLoad::FollowMode::kReadEach);
}

/// Sets the start times of the probes' jobs from the workers' records.
Observations WithProbeStarts(Observations seen) {
  for (GuaranteeProbe& probe : seen.probes) {
    for (const WorkerStart& start : seen.starts) {
      const bool earlier = probe.started_at == Milliseconds(0) || start.start.at < probe.started_at;
      if (start.start.job == probe.job && earlier) {
        probe.started_at = start.start.at;
      }
    }
  }
  return seen;
}

}  // namespace

absl::StatusOr<LabResult> RunFleetLab(const FleetListing& fleet, const FaultFile& faults,
                                      const LabOptions& options) {
  LabContext context(fleet, options.seed);
  CallLoad calls(context, faults.load);
  JobLoad jobs(context, faults.load);
  FaultActions actions(context, calls, jobs);
  FleetWatcher watcher(context, jobs);
  FaultRunner runner(context, actions, faults.steps);
  TRY(actions.PrepareBundle());
  WaitForBundle(context);

  const CountersByNode counters_before = CountersOf(context);
  const std::int64_t store_calls_before = StoreCalls(context);
  const Milliseconds started_at = context.clock.Now();
  watcher.Start();
  calls.Start();
  jobs.Start();
  runner.Start();
  const StopSignal never;
  never.WaitFor(options.duration);
  context.stop.Raise();
  runner.Join();
  calls.Join();
  jobs.Join();
  const Milliseconds lasted = context.clock.Now() - started_at;
  const CountersByNode counters_after = CountersOf(context);
  const std::int64_t store_calls = StoreCalls(context) - store_calls_before;
  actions.RestoreAll();
  Settle(context, jobs, options.settle);
  watcher.Stop();

  const Observations seen = WithProbeStarts(context.log.Copy());
  LabResult result;
  result.seed = options.seed;
  result.lasted = lasted;
  result.promises = CheckPromises(seen, fleet.Zones(), PromiseLimits{});
  result.figures = FiguresOf(seen, lasted, context.clock.WallNow() - context.clock.Now());
  result.steps_done = runner.steps_done();
  result.step_failures = runner.failures();
  result.node_rates = RatesOf(counters_before, counters_after, lasted);
  result.store_calls_per_node_second = static_cast<double>(store_calls) * kMillisecondsPerSecond /
                                       static_cast<double>(lasted.count()) /
                                       static_cast<double>(fleet.nodes().size());
  return result;
}

}  // namespace papayalift
