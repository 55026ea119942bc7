#include <algorithm>
#include <limits>
#include <set>

#include "libraries/leader/host_rates.h"
#include "libraries/leader/leader_session.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

constexpr Milliseconds kDropInterval{10'000};
/// Half of a task shows how long it takes.
constexpr int kMinPercentsOfDuration = 50;

void SetSpeed(TrackedMinion& minion, const HostSpeeds& speeds, Milliseconds now) {
  const SpeedSpread spread = speeds.SpreadOf(minion.entry->service);
  minion.health.learned_speed.reset();
  minion.health.is_fast = false;
  minion.health.needs_measurement = false;
  if (spread.is_uneven) {
    const double speed = speeds.SpeedOf(minion.host, spread, now);
    const bool is_known = speeds.IsKnown(minion.host, now);
    minion.health.learned_speed = speed;
    minion.health.is_fast = is_known && speed >= spread.fast_from;
    minion.health.needs_measurement = !is_known;
  }
}

void LogSpread(const ServiceId& service, const SpeedSpread& spread) {
  constexpr double kPercent = 100;
  LogEvent(LogLevel::kInfo, "speeds",
           spread.is_uneven ? "placement regards the speeds of machines"
                            : "placement no longer regards the speeds of machines")
      .Field("service", service.text())
      .Field("machines", spread.machines)
      .Field("slowest_third_percent", static_cast<std::int64_t>(spread.slowest_third * kPercent))
      .Field("fastest_third_percent", static_cast<std::int64_t>(spread.fastest_third * kPercent))
      .Write();
}

void ExportSpread(const ServiceId& service, const SpeedSpread& spread, Metrics& metrics) {
  const std::string labels = "{service=\"" + service.text() + "\"}";
  metrics.SetGauge("papayalift_machines_with_speed" + labels, spread.machines);
  metrics.SetGauge("papayalift_slowest_third_speed" + labels, spread.slowest_third);
  metrics.SetGauge("papayalift_fastest_third_speed" + labels, spread.fastest_third);
}

}  // namespace

void LeaderSession::LearnSpeeds() {
  HostSpeeds& speeds = m_state.host_speeds;
  for (const std::vector<HostRate>& group : MeasureHostRates(m_state, Now())) {
    speeds.Observe(group, Now());
  }
  const std::map<ServiceId, SpeedSpread> former = speeds.spreads();
  speeds.UpdateSpreads(Now());
  for (const auto& [service, spread] : speeds.spreads()) {
    const auto before = former.find(service);
    if (spread.is_uneven != (before != former.end() && before->second.is_uneven)) {
      LogSpread(service, spread);
    }
    ExportSpread(service, spread, m_context.metrics);
  }
  for (const auto& [service, spread] : former) {
    if (!speeds.spreads().contains(service)) {
      if (spread.is_uneven) {
        LogSpread(service, SpeedSpread());
      }
      ExportSpread(service, SpeedSpread(), m_context.metrics);
    }
  }
  std::set<std::string> listed;
  for (auto& [id, minion] : m_state.minions) {
    if (minion.entry.has_value()) {
      SetSpeed(minion, speeds, Now());
      listed.insert(minion.address);
    }
  }
  if (Now() - m_gone_hosts_dropped_at >= kDropInterval) {
    m_gone_hosts_dropped_at = Now();
    speeds.DropGone(listed, Now());
  }
}

void LeaderSession::RecordDuration(const TrackedJob& job, TrackedRun& run) {
  const StepSpec& step = job.accepted.work.steps[static_cast<std::size_t>(run.task.step)];
  const int percents = run.percent - run.initial_percent.value_or(run.percent);
  const bool shows_step = step.kind != WorkStepKind::kGang || run.task.index == 0;
  if (run.is_duration_recorded || !shows_step || percents < kMinPercentsOfDuration) {
    return;
  }
  constexpr int kFullPercent = 100;
  run.is_duration_recorded = true;
  m_state.queue_durations.Record(job.accepted.queue, step.estimate,
                                 (Now() - run.initial_percent_at) * kFullPercent / percents,
                                 SpeedOfStep(job, run.task));
}

double LeaderSession::SpeedOfStep(const TrackedJob& job, const TaskName& task) {
  const std::size_t step = static_cast<std::size_t>(task.step);
  const auto speed_of = [this](const TaskProgress& member) {
    const TrackedMinion* const minion = m_state.FindMinion(member.minion);
    return minion == nullptr ? 1 : minion->health.learned_speed.value_or(1);
  };
  const std::vector<TaskProgress>& tasks = job.progress.steps[step].tasks;
  if (job.accepted.work.steps[step].kind != WorkStepKind::kGang) {
    return speed_of(tasks[static_cast<std::size_t>(task.index)]);
  }
  double slowest = std::numeric_limits<double>::infinity();
  for (const TaskProgress& member : tasks) {
    slowest = std::min(slowest, speed_of(member));
  }
  return slowest;
}

}  // namespace papayalift
