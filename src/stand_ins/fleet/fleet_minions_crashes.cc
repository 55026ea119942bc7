#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "stand_ins/fleet/fleet_minions.h"

namespace papayalift {

namespace {

/// Time after its last heartbeat during which the entry of a minion stays in the registry.
constexpr Milliseconds kEntryTimeToLive{3'000};
constexpr Milliseconds kConnectDelay{1};
/// Crashes under a task after which it counts as deadly, and the starts that it may get after them.
constexpr int kCrashesOfDeadlyTask = 3;
constexpr int kStartsAfterCrashes = 2;

}  // namespace

bool FleetMinions::IsUp(const MinionId& id) const {
  const auto found = m_minions.find(id);
  return found != m_minions.end() && !found->second.outage.has_value();
}

std::optional<Milliseconds> FleetMinions::ListeningSince(const MinionId& id) const {
  const Minion& minion = m_minions.at(id);
  const bool listens =
      !minion.outage.has_value() && !minion.cut_off_from_callers.has_value() && minion.is_reachable;
  return listens ? std::optional(minion.started_at) : std::nullopt;
}

MinionId FleetMinions::NewestOn(const MinionId& id) const {
  MinionId newest = id;
  while (m_minions.at(newest).successor.has_value()) {
    newest = *m_minions.at(newest).successor;
  }
  return newest;
}

FleetMinions::Minion FleetMinions::NextLifeOf(const Minion& old) {
  Minion fresh;
  fresh.id = old.id;
  fresh.rack = old.rack;
  fresh.zone = old.zone;
  fresh.speed = old.speed;
  fresh.capacity = old.capacity;
  fresh.address = old.address;
  fresh.is_reachable = old.is_reachable;
  fresh.is_cut_off_from_store = old.is_cut_off_from_store;
  fresh.cut_off_from_callers = old.cut_off_from_callers;
  fresh.published_at = old.published_at;
  fresh.former_rooms = old.former_rooms;
  return fresh;
}

void FleetMinions::EndProcess(Minion& minion, ProcessEnd end) {
  const std::map<TaskName, Run> lost = std::exchange(minion.runs, {});
  for (const auto& [task, run] : lost) {
    if (end == ProcessEnd::kCrash) {
      ++m_task_records[task].lost_runs;
      m_task_records[task].lost_at.insert(minion.address);
    }
    BreakGangOf(run);
  }
}

void FleetMinions::Restart(const MinionId& id) {
  // NOTE: two lives that start in the same millisecond would have the same incarnation.
  if (!IsUp(id) || m_minions.at(id).started_at == m_timers.clock().Now()) {
    return;
  }
  Minion& minion = m_minions.at(id);
  EndProcess(minion, ProcessEnd::kCrash);
  minion = NextLifeOf(minion);
  minion.started_at = m_timers.clock().Now();
  Publish(minion);
}

void FleetMinions::Crash(const MinionId& id, const MinionOutage& outage) {
  if (!IsUp(id)) {
    return;
  }
  AdvanceAll();
  Minion& minion = m_minions.at(id);
  for (const auto& [task, run] : minion.runs) {
    // A minion that loses its power with its zone has not crashed under its tasks.
    if (IsDeadly(task) && outage.kind == OutageKind::kRefused) {
      ++m_task_records[task].crashes;
    }
  }
  ++m_crashes;
  EndProcess(minion, ProcessEnd::kCrash);
  m_timers.After(kEntryTimeToLive,
                 [this, id, started_at = minion.started_at] { ExpireEntry(id, started_at); });
  StartOutage(minion, outage);
}

void FleetMinions::Drain(const MinionId& id, Milliseconds notice, const MinionOutage& outage) {
  if (!IsUp(id) || m_minions.at(id).state == MinionState::kDraining) {
    return;
  }
  SetDraining(id);
  m_timers.After(notice, [this, id, outage, started_at = m_minions.at(id).started_at] {
    if (IsUp(id) && m_minions.at(id).started_at == started_at) {
      Leave(id, outage);
    }
  });
}

void FleetMinions::Leave(const MinionId& id, const MinionOutage& outage) {
  AdvanceAll();
  Minion& minion = m_minions.at(id);
  EndProcess(minion, ProcessEnd::kPlanned);
  if (!minion.is_cut_off_from_store) {
    m_store.Remove("servers/" + id.text());
  }
  StartOutage(minion, outage);
}

void FleetMinions::StartOutage(Minion& minion, const MinionOutage& outage) {
  minion.outage = outage.kind;
  if (outage.comes_back != MinionReturn::kNever) {
    m_timers.After(outage.duration, [this, id = minion.id, comes_back = outage.comes_back] {
      ComeBack(id, comes_back);
    });
  }
}

void FleetMinions::ExpireEntry(const MinionId& id, Milliseconds started_at) {
  const Minion& minion = m_minions.at(id);
  if (minion.started_at == started_at && minion.outage.has_value()) {
    m_store.Remove("servers/" + id.text());
  }
}

void FleetMinions::ComeBack(const MinionId& id, MinionReturn comes_back) {
  Minion& old = m_minions.at(id);
  Minion fresh = NextLifeOf(old);
  if (comes_back == MinionReturn::kNewId) {
    fresh.id = MinionId(fmt::format("{}-{}", id.text(), m_minions.size()));
    old.successor = fresh.id;
  }
  fresh.started_at = m_timers.clock().Now();
  const MinionId next = fresh.id;
  m_minions[next] = std::move(fresh);
  Publish(m_minions.at(next));
}

void FleetMinions::LoseZone(const ZoneId& zone, Milliseconds duration) {
  std::vector<MinionId> lost;
  for (const auto& [id, minion] : m_minions) {
    if (minion.zone == zone) {
      lost.push_back(id);
    }
  }
  for (const MinionId& id : lost) {
    Crash(id, MinionOutage{duration, MinionReturn::kSameId, OutageKind::kSilent});
  }
}

void FleetMinions::RestartInTurn(Milliseconds interval, const MinionOutage& outage) {
  Milliseconds delay{0};
  for (const auto& [id, minion] : m_minions) {
    if (IsUp(id)) {
      m_timers.After(delay, [this, id = id, outage] { Crash(id, outage); });
      delay += interval;
    }
  }
}

bool FleetMinions::FailsCall(const Minion& minion, const MinionAddress& called,
                             Milliseconds timeout, const std::function<void(OrderResult)>& answer) {
  if (!called.address.empty() && called.address != minion.address) {
    m_timers.After(kConnectDelay, [answer] { answer(OrderResult::kOtherMinion); });
    return true;
  }
  const std::optional<OutageKind> outage =
      minion.outage.has_value() ? minion.outage : minion.cut_off_from_callers;
  if (!outage.has_value()) {
    return false;
  }
  if (minion.successor.has_value()) {
    // Another minion is at the address and does not take orders meant for this one.
    m_timers.After(kConnectDelay, [answer] { answer(OrderResult::kOtherMinion); });
  } else if (outage == OutageKind::kSilent || !minion.is_reachable) {
    m_timers.After(timeout, [answer] { answer(OrderResult::kUnclear); });
  } else {
    const OrderResult result =
        outage == OutageKind::kReset ? OrderResult::kUnclear : OrderResult::kNoListener;
    m_timers.After(kConnectDelay, [answer, result] { answer(result); });
  }
  return true;
}

bool FleetMinions::IsDeadly(const TaskName& task) const {
  const auto job = m_jobs.find(task.job);
  return job != m_jobs.end() &&
         std::any_of(job->second.deadly_tasks.begin(), job->second.deadly_tasks.end(),
                     [&task](const DeadlyTask& deadly) {
                       return deadly.step == task.step && deadly.index == task.index;
                     });
}

void FleetMinions::CountStart(const TaskName& task) {
  TaskRecord& record = m_task_records[task];
  ++record.starts;
  if (record.crashes >= kCrashesOfDeadlyTask &&
      ++record.starts_after_crashes == kStartsAfterCrashes + 1) {
    AddViolation("BUDGET: started three times more after it has crashed three minions", task);
  }
}

void FleetMinions::CrashIfDeadly(const Minion& minion, const TaskName& task) {
  if (!IsDeadly(task)) {
    return;
  }
  m_timers.After(m_jobs.at(task.job).crash_delay,
                 [this, id = minion.id, started_at = minion.started_at, task] {
                   const Minion& later = m_minions.at(id);
                   if (later.started_at == started_at && later.runs.contains(task)) {
                     Crash(id, m_outage_of_crashes);
                   }
                 });
}

TaskRecord FleetMinions::RecordOf(const TaskName& task) const {
  const auto found = m_task_records.find(task);
  return found == m_task_records.end() ? TaskRecord{} : found->second;
}

int FleetMinions::max_lost_runs_of_task(const JobId& job) const {
  int most = 0;
  for (const auto& [task, record] : m_task_records) {
    most = std::max(most, task.job == job ? record.lost_runs : 0);
  }
  return most;
}

bool FleetMinions::HasLostTaskOnTwoMachines(const JobId& job) const {
  return std::any_of(m_task_records.begin(), m_task_records.end(), [&job](const auto& entry) {
    return entry.first.job == job && entry.second.lost_at.size() > 1;
  });
}

int FleetMinions::lost_runs(const JobId& job) const {
  int sum = 0;
  for (const auto& [task, record] : m_task_records) {
    sum += task.job == job ? record.lost_runs : 0;
  }
  return sum;
}

}  // namespace papayalift
