#include "libraries/leader/wait_monitor.h"

#include <algorithm>

#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// Shorter waits are not logged.
constexpr Milliseconds kMinLoggedWait{1'000};

void AddQuotaFields(const PlanWorkspace& workspace, LogEvent& event) {
  event.Field("workspace", workspace.id.text())
      .Field("running_cpu_milli", workspace.running.cpu_milli)
      .Field("quota_cpu_milli", workspace.quota.cpu_milli)
      .Field("running_memory_mb", workspace.running.memory_mb)
      .Field("quota_memory_mb", workspace.quota.memory_mb)
      .Field("running_accelerators", workspace.running.accelerators)
      .Field("quota_accelerators", workspace.quota.accelerators);
}

}  // namespace

void WaitMonitor::Record(const std::vector<PlannedWait>& waits, const PlanInputs& inputs,
                         const std::vector<PlanWorkspace>& workspaces, Milliseconds now) {
  std::map<StepName, StepWait> current;
  for (const PlannedWait& planned : waits) {
    const StepName name(planned.job, planned.step);
    const auto known = m_waits.find(name);
    StepWait wait = known == m_waits.end() ? StepWait{planned.reason, now, now, {}} : known->second;
    if (wait.reason != planned.reason) {
      wait.reason = planned.reason;
      wait.reason_since = now;
    }
    if (const auto other = current.find(name); other != current.end()) {
      // Tasks of one step can wait for several reasons in one pass; the last one is kept.
      wait.is_logged = other->second.is_logged;
    }
    LogIfLong(planned, wait, inputs, workspaces, now);
    current.insert_or_assign(name, wait);
  }
  m_waits = std::move(current);
  ExportGauges(now);
}

const StepWait* WaitMonitor::Find(const JobId& job, int step) const {
  const auto found = m_waits.find(StepName(job, step));
  return found == m_waits.end() ? nullptr : &found->second;
}

void WaitMonitor::LogIfLong(const PlannedWait& planned, StepWait& wait, const PlanInputs& inputs,
                            const std::vector<PlanWorkspace>& workspaces, Milliseconds now) {
  bool& is_logged = wait.is_logged[static_cast<std::size_t>(wait.reason)];
  if (is_logged || now - wait.ready_since < kMinLoggedWait) {
    return;
  }
  is_logged = true;
  m_metrics.Increment("papayalift_step_waits_total{reason=\"" + WaitReasonText(wait.reason) +
                      "\"}");
  const ServiceInputs service = inputs.Of(planned.service);
  LogEvent event(LogLevel::kInfo, "leader", "a ready step waits");
  event.Job(planned.job)
      .Field("step", planned.step)
      .Field("tasks", planned.tasks)
      .Field("waited_ms", (now - wait.ready_since).count())
      .Field("for_reason_ms", (now - wait.reason_since).count())
      .Field("usable_minions", service.usable_minions)
      .Field("unusable_minions", service.UnusableText())
      .Field("free_cpu_milli", service.free.cpu_milli)
      .Field("free_accelerators", service.free.accelerators)
      .Field("capacity_cpu_milli", service.capacity.cpu_milli)
      .Field("capacity_accelerators", service.capacity.accelerators)
      .Field("slack_ms", planned.slack.count())
      .Field("worthless_in_ms", planned.worthless_slack.count())
      .Field("preferred_job", planned.preferred.text())
      .Reason(WaitReasonText(wait.reason));
  const auto workspace = std::find_if(
      workspaces.begin(), workspaces.end(),
      [&planned](const PlanWorkspace& candidate) { return candidate.id == planned.workspace; });
  if (wait.reason == WaitReason::kQuota && workspace != workspaces.end()) {
    AddQuotaFields(*workspace, event);
  }
  event.Write();
}

void WaitMonitor::ExportGauges(Milliseconds now) {
  std::array<int, kWaitReasons> counts{};
  std::array<Milliseconds, kWaitReasons> longest{};
  for (const auto& [name, wait] : m_waits) {
    const std::size_t reason = static_cast<std::size_t>(wait.reason);
    ++counts[reason];
    longest[reason] = std::max(longest[reason], now - wait.reason_since);
  }
  for (std::size_t reason = 0; reason < kWaitReasons; ++reason) {
    if (counts[reason] == 0 && !m_is_exported[reason]) {
      continue;
    }
    m_is_exported[reason] = counts[reason] > 0;
    const std::string label =
        "{reason=\"" + WaitReasonText(static_cast<WaitReason>(reason)) + "\"}";
    m_metrics.SetGauge("papayalift_waiting_steps" + label, counts[reason]);
    m_metrics.SetGauge("papayalift_longest_step_wait_ms" + label,
                       static_cast<double>(longest[reason].count()));
  }
}

}  // namespace papayalift
