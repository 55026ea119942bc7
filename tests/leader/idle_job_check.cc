#include "leader/idle_job_check.h"

#include <fmt/format.h>

#include <algorithm>

namespace papayalift {

namespace {

constexpr Milliseconds kLookInterval{100};
constexpr Milliseconds kMaxIdle{3'000};
constexpr Milliseconds kCalmBefore{4'000};
/// How often a step must fit for there to be room for it.
constexpr std::int64_t kTwiceOver = 2;

bool IsHalfInUse(const std::vector<MinionRoom>& rooms) {
  double in_use = 0;
  double capacity = 0;
  for (const MinionRoom& room : rooms) {
    in_use += WeightedCores(room.taken);
    capacity += WeightedCores(room.capacity);
  }
  return in_use * 2 >= capacity;
}

/// A gang needs room as a whole, of other steps each task by itself.
bool FitsTwice(const StepSpec& step, const std::vector<MinionRoom>& rooms) {
  const std::int64_t wanted = kTwiceOver * (step.kind == WorkStepKind::kGang ? step.count : 1);
  std::int64_t fitting = 0;
  for (const MinionRoom& room : rooms) {
    if (room.state == MinionState::kReady) {
      fitting += step.needs.MaxCountIn(room.capacity - room.taken, wanted);
    }
  }
  return fitting >= wanted;
}

}  // namespace

IdleJobCheck::IdleJobCheck(VirtualTimers& timers, FleetMinions& minions)
    : m_timers(timers), m_minions(minions), m_last_fault(timers.clock().Now()) {
  Look();
}

void IdleJobCheck::Watch(const JobId& job, const WorkSpec& work) {
  m_watched[job] = WatchedJob{work, std::nullopt};
}

void IdleJobCheck::NoteFault(Milliseconds time) { m_last_fault = std::max(m_last_fault, time); }

void IdleJobCheck::Look() {
  const std::vector<MinionRoom> rooms = m_minions.Rooms();
  if (rooms.size() != m_minions_up || m_minions.crashes() != m_crashes) {
    NoteFault(m_timers.clock().Now());
  }
  m_minions_up = rooms.size();
  m_crashes = m_minions.crashes();
  const bool may_be_idle = !IsCalm() || IsHalfInUse(rooms);
  for (auto& [id, job] : m_watched) {
    if (may_be_idle) {
      job.idle_since.reset();
    } else {
      LookAt(id, job, rooms);
    }
  }
  m_timers.After(kLookInterval, [this] { Look(); });
}

bool IdleJobCheck::IsCalm() const { return m_timers.clock().Now() >= m_last_fault + kCalmBefore; }

void IdleJobCheck::LookAt(const JobId& id, WatchedJob& job, const std::vector<MinionRoom>& rooms) {
  const std::size_t step =
      m_minions.RunningOn(id).empty() ? FindReadyStep(id, job.work, rooms) : job.work.steps.size();
  if (step == job.work.steps.size()) {
    job.idle_since.reset();
    return;
  }
  const Milliseconds now = m_timers.clock().Now();
  job.idle_since = job.idle_since.value_or(now);
  m_longest_idle = std::max(m_longest_idle, now - *job.idle_since);
  if (now - *job.idle_since >= kMaxIdle) {
    m_idle_jobs.try_emplace(
        id,
        fmt::format("LOST: {} ms: step {} of job {} has been ready since {} ms and nothing "
                    "runs, with room for it twice over; the last fault was at {} ms",
                    now.count(), step, id.text(), job.idle_since->count(), m_last_fault.count()));
  }
}

std::size_t IdleJobCheck::FindReadyStep(const JobId& id, const WorkSpec& work,
                                        const std::vector<MinionRoom>& rooms) const {
  std::size_t step = 0;
  while (step < work.steps.size() &&
         !(IsStepReady(id, work, step) && FitsTwice(work.steps[step], rooms))) {
    ++step;
  }
  return step;
}

bool IdleJobCheck::IsStepDone(const JobId& id, const WorkSpec& work, std::size_t step) const {
  for (int index = 0; index < work.steps[step].count; ++index) {
    if (!m_minions.IsDone(TaskName{id, 0, static_cast<int>(step), index})) {
      return false;
    }
  }
  return true;
}

bool IdleJobCheck::IsStepReady(const JobId& id, const WorkSpec& work, std::size_t step) const {
  return !IsStepDone(id, work, step) &&
         std::all_of(work.steps[step].after.begin(), work.steps[step].after.end(),
                     [this, &id, &work](int earlier) {
                       return IsStepDone(id, work, static_cast<std::size_t>(earlier));
                     });
}

}  // namespace papayalift
