#include "libraries/fleet_lab/run_figures.h"

#include <algorithm>

#include "libraries/fleet_lab/percentile.h"
#include "libraries/model/job_names.h"

namespace papayalift {

namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;
constexpr double kMillisecondsPerSecond = 1'000.0;
/// A renewal gap that ends within this time after a kill is attributed to the takeover.
constexpr Milliseconds kTakeoverSpan{30'000};

bool AnyCovers(const std::vector<TimeWindow>& windows, Milliseconds at) {
  return std::any_of(windows.begin(), windows.end(),
                     [at](const TimeWindow& window) { return window.Covers(at); });
}

WorkFigures WorkWithin(const Observations& seen, const std::vector<TimeWindow>& windows,
                       Milliseconds wall_offset) {
  WorkFigures work;
  Milliseconds last_sample{0};
  for (const WorkSample& sample : seen.work) {
    if (AnyCovers(windows, sample.at)) {
      work.task_time += sample.task_time;
      work.lasted += last_sample > Milliseconds(0) ? sample.at - last_sample : Milliseconds(0);
    }
    last_sample = sample.at;
  }
  for (const CallObservation& call : seen.calls) {
    const bool counts =
        call.verdict == Verdict::kRan && AnyCovers(windows, call.sent_at + call.took);
    work.calls_run += counts ? 1 : 0;
  }
  for (const JobObservation& job : seen.jobs) {
    const bool counts = job.record.state == JobState::kSucceeded &&
                        AnyCovers(windows, job.record.finished_at - wall_offset);
    work.jobs_ended += counts ? 1 : 0;
  }
  return work;
}

void FillCalls(const Observations& seen, Milliseconds lasted, RunFigures& figures) {
  std::vector<Milliseconds> latencies;
  for (const CallObservation& call : seen.calls) {
    ++figures.calls_by_verdict[VerdictText(call.verdict)];
    if (call.verdict == Verdict::kRan) {
      latencies.push_back(call.took);
    }
  }
  figures.calls_per_second = static_cast<double>(seen.calls.size()) * kMillisecondsPerSecond /
                             static_cast<double>(std::max<std::int64_t>(1, lasted.count()));
  figures.call_p50 = PercentileOf(latencies, kMedian);
  figures.call_p99 = PercentileOf(latencies, kTail);
}

void FillJobs(const Observations& seen, RunFigures& figures) {
  std::vector<Milliseconds> waits;
  for (const JobObservation& job : seen.jobs) {
    if (job.submit == SubmitResult::kRefused) {
      ++figures.jobs_refused;
      continue;
    }
    ++figures.jobs_by_state[JobStateText(job.record.state)];
    if (job.record.started_at > Milliseconds(0)) {
      waits.push_back(job.record.started_at - job.record.submitted_at);
    }
  }
  figures.start_p50 = PercentileOf(waits, kMedian);
  figures.start_p99 = PercentileOf(waits, kTail);
}

void FillGaps(const Observations& seen, RunFigures& figures) {
  for (const AttemptRenewal& renewal : seen.renewals) {
    const Milliseconds gap = renewal.renewal.gap;
    const Milliseconds at = renewal.renewal.at;
    figures.longest_renewal_gap = std::max(figures.longest_renewal_gap, gap);
    for (const NodeWindow& killed : seen.nodes_killed) {
      const Milliseconds from = killed.window.from;
      if (at >= from && at < from + kTakeoverSpan && at - gap <= from) {
        figures.takeover = std::max(figures.takeover, at - from);
      }
    }
  }
  for (const PartialGang& gang : seen.partial_gangs) {
    figures.longest_partial_gang = std::max(figures.longest_partial_gang, gang.longest);
  }
}

}  // namespace

RunFigures FiguresOf(const Observations& seen, Milliseconds lasted, Milliseconds wall_offset) {
  RunFigures figures;
  FillCalls(seen, lasted, figures);
  FillJobs(seen, figures);
  FillGaps(seen, figures);
  std::vector<TimeWindow> zone_windows;
  for (const ZoneWindow& window : seen.zones_out) {
    zone_windows.push_back(window.out);
  }
  figures.all = WorkWithin(seen, {TimeWindow{}}, wall_offset);
  figures.store_away = WorkWithin(seen, seen.store_away, wall_offset);
  figures.zone_out = WorkWithin(seen, zone_windows, wall_offset);
  return figures;
}

}  // namespace papayalift
