#include "stand_ins/fleet/fleet_minions.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "libraries/base/hash.h"

namespace papayalift {

namespace {

constexpr Milliseconds kNetworkDelay{2};
constexpr Milliseconds kOrderTimeout{800};
constexpr Milliseconds kLateOrderDelay{3'000};
constexpr Milliseconds kStopDuration{150};
/// Time after an evacuation is stored during which the zone may still receive start orders.
constexpr Milliseconds kEvacuationBound{5'000};
/// Clock rate of every second minion, relative to real time.
constexpr double kSlowClockRate = 0.98;

/// What the clock of a process shows as it starts: any figure, above or below the former process's.
std::int64_t ClockAtStart(const MinionId& id, Milliseconds started_at) {
  constexpr std::uint64_t kMaxClockAtStart = 10'000'000;
  const std::string process = fmt::format("{} {}", id.text(), started_at.count());
  return static_cast<std::int64_t>(Hash64(process) % kMaxClockAtStart);
}

std::string AddressOfMachine(std::size_t number) {
  constexpr std::size_t kHostsPerNetwork = 250;
  return fmt::format("10.0.{}.{}:80", number / kHostsPerNetwork, number % kHostsPerNetwork + 1);
}

}  // namespace

void FleetMinions::Add(const MinionId& id, const RackId& rack, const Resources& capacity,
                       const ZoneId& zone) {
  Minion minion;
  minion.id = id;
  minion.rack = rack;
  minion.zone = zone;
  minion.address = m_address.empty() ? AddressOfMachine(m_minions.size()) : m_address;
  minion.capacity = capacity;
  minion.started_at = m_timers.clock().Now();
  m_minions[id] = minion;
  Publish(m_minions[id]);
}

void FleetMinions::Publish(Minion& minion) {
  if (minion.is_cut_off_from_store) {
    return;
  }
  minion.published_at = m_timers.clock().Now();
  m_store.Put("servers/" + minion.id.text(), EntryOf(minion));
}

std::string FleetMinions::EntryOf(const Minion& minion) const {
  return fmt::format(
      R"({{"service":"pool","address":"{}","zone":"{}","version":"v1","slots":8,"state":"{}",)"
      R"("coldLeftMs":0,"capacity":{{"cpu":{},"memMb":{},"gpu":{}}},"labels":["kind","{}"],)"
      R"("born":{},"clockMs":{},"sequence":{}}})",
      minion.address, minion.zone.text(),
      minion.state == MinionState::kReady ? "ready" : "draining", minion.capacity.cpu_milli,
      minion.capacity.memory_mb, minion.capacity.accelerators, minion.rack.text(),
      minion.started_at.count(), ClockOf(minion).value(), minion.heartbeats);
}

void FleetMinions::RepeatEntryLater(const MinionId& id, Milliseconds delay) {
  m_timers.After(delay, [this, key = "servers/" + id.text(), entry = EntryOf(m_minions.at(id))] {
    m_store.Put(key, entry);
  });
}

void FleetMinions::SendHeartbeats() {
  for (const auto& [id, minion] : m_minions) {
    SendHeartbeat(id);
  }
}

void FleetMinions::SetDraining(const MinionId& id) {
  Minion& minion = m_minions.at(id);
  minion.state = MinionState::kDraining;
  ++minion.heartbeats;
  Publish(minion);
}

void FleetMinions::SetReachable(const MinionId& id, bool is_reachable) {
  m_minions.at(id).is_reachable = is_reachable;
}

void FleetMinions::FailNextOrders(const MinionId& id, std::deque<OrderFault> faults) {
  m_minions.at(id).faults = std::move(faults);
}

void FleetMinions::FailNextHolds(const MinionId& id, std::deque<OrderFault> faults) {
  m_minions.at(id).hold_faults = std::move(faults);
}

OrderFault FleetMinions::NextFault(Minion& minion) {
  if (minion.faults.empty()) {
    return OrderFault::kNone;
  }
  const OrderFault fault = minion.faults.front();
  minion.faults.pop_front();
  return fault;
}

MinionTime FleetMinions::ClockOf(const Minion& minion) const {
  const double uptime = static_cast<double>((m_timers.clock().Now() - minion.started_at).count());
  const bool is_slow = minion.id.text().back() % 2 == 0;
  return MinionTime(ClockAtStart(minion.id, minion.started_at) +
                    static_cast<std::int64_t>(uptime * (is_slow ? kSlowClockRate : 1)));
}

const StepSpec* FleetMinions::StepOf(const TaskName& task) const {
  const auto job = m_jobs.find(task.job);
  if (job == m_jobs.end() || static_cast<std::size_t>(task.step) >= job->second.work.steps.size()) {
    return nullptr;
  }
  return &job->second.work.steps[static_cast<std::size_t>(task.step)];
}

void FleetMinions::AddViolation(const std::string& rule, const TaskName& task) {
  m_violations.push_back(
      fmt::format("{} ms: {}: {}", m_timers.clock().Now().count(), rule, FormatTaskName(task)));
}

Resources FleetMinions::AllocatedOn(const Minion& minion) const {
  Resources taken;
  for (const auto& [task, run] : minion.runs) {
    if (const StepSpec* const step = StepOf(task); step != nullptr) {
      taken += step->needs;
    }
  }
  return taken;
}

// --- orders ---

void FleetMinions::Start(const MinionAddress& address, const StartOrder& order,
                         const std::function<void(OrderAnswer)>& answer) {
  Minion& minion = m_minions.at(address.id);
  if (FailsCall(minion, address, kOrderTimeout, [answer](OrderResult result) {
        answer(OrderAnswer{result, {}, "gone"});
      })) {
    return;
  }
  const OrderFault fault = NextFault(minion);
  if (!minion.is_reachable || fault == OrderFault::kLost) {
    m_timers.After(kOrderTimeout, [answer] {
      answer(OrderAnswer{OrderResult::kUnclear, {}, "lost"});
    });
    return;
  }
  if (fault == OrderFault::kRefused) {
    m_timers.After(kNetworkDelay, [answer] {
      answer(OrderAnswer{OrderResult::kRefused, {}, "status 503"});
    });
    return;
  }
  if (fault == OrderFault::kLate) {
    CarryOutLater(address.id, [this, order, arrived_at = m_timers.clock().Now()](Minion& later) {
      CarryOutStart(later, order, arrived_at);
    });
    m_timers.After(kOrderTimeout, [answer] {
      answer(OrderAnswer{OrderResult::kUnclear, {}, "late"});
    });
    return;
  }
  const OrderAnswer done = CarryOutStart(minion, order, m_timers.clock().Now());
  if (fault == OrderFault::kAnswerLost) {
    m_timers.After(kOrderTimeout, [answer] {
      answer(OrderAnswer{OrderResult::kUnclear, {}, "lost"});
    });
  } else {
    AnswerStart(minion, done, answer);
  }
}

void FleetMinions::AnswerStart(const Minion& minion, const OrderAnswer& done,
                               const std::function<void(OrderAnswer)>& answer) {
  m_timers.After(kNetworkDelay,
                 [this, id = minion.id, started_at = minion.started_at, answer, done] {
                   const Minion& later = m_minions.at(id);
                   const bool is_same = later.started_at == started_at && !later.outage.has_value();
                   answer(is_same ? done : OrderAnswer{OrderResult::kUnclear, {}, "reset"});
                 });
}

/// Drops the action if the minion restarts first: pending orders die with the process.
void FleetMinions::CarryOutLater(const MinionId& id, std::function<void(Minion&)> action) {
  m_timers.After(kLateOrderDelay,
                 [this, id, started_at = m_minions.at(id).started_at, action = std::move(action)] {
                   Minion& later = m_minions.at(id);
                   if (later.started_at == started_at && !later.outage.has_value()) {
                     action(later);
                   }
                 });
}

OrderAnswer FleetMinions::CarryOutStart(Minion& minion, const StartOrder& order,
                                        Milliseconds arrived_at) {
  AdvanceAll();
  if (order.token < minion.token) {
    return OrderAnswer{OrderResult::kFenced, ClockOf(minion), "fence"};
  }
  minion.token = order.token;
  if (order.lease_until <= ClockOf(minion)) {
    return OrderAnswer{OrderResult::kLeaseExpired, ClockOf(minion), "late"};
  }
  ExtendLease(minion, order.lease_until);
  const auto existing = minion.runs.find(order.task);
  if (existing != minion.runs.end() && existing->second.attempt == order.attempt) {
    return OrderAnswer{OrderResult::kDone, ClockOf(minion), ""};
  }
  const auto barred = minion.barred.find(order.task);
  if (barred != minion.barred.end() && order.attempt <= barred->second) {
    return OrderAnswer{OrderResult::kStaleAttempt, ClockOf(minion), "old"};
  }
  CheckStart(minion, order, arrived_at);
  ++m_starts[order.task.job];
  m_last_orders[order.task.job] = arrived_at;
  Run run;
  run.task = order.task;
  run.attempt = order.attempt;
  run.accepted_at = m_timers.clock().Now();
  run.checkpoint = order.checkpoint;
  minion.runs[order.task] = run;
  CountStart(order.task);
  BeginIfGangComplete(order.task, order.attempt);
  CrashIfDeadly(minion, order.task);
  return OrderAnswer{OrderResult::kDone, ClockOf(minion), ""};
}

void FleetMinions::CheckStart(const Minion& minion, const StartOrder& order,
                              Milliseconds arrived_at) {
  if (m_evacuated_since.has_value() && arrived_at > *m_evacuated_since + kEvacuationBound) {
    AddViolation("started in an evacuated zone", order.task);
  }
  const StepSpec* const step = StepOf(order.task);
  if (step == nullptr && !m_accepts_unknown_jobs) {
    AddViolation("unasked", order.task);
    return;
  }
  if (step != nullptr && !FitsRoom(minion, AllocatedOn(minion) + step->needs, arrived_at)) {
    AddViolation("over capacity on " + minion.id.text(), order.task);
  }
  if (m_acknowledged_done.contains(order.task)) {
    AddViolation("started after it was done", order.task);
  } else if (m_done.contains(order.task)) {
    m_started_after_done[order.task] = order.attempt;
  }
  for (const auto& [id, other] : m_minions) {
    if (other.runs.contains(order.task)) {
      AddViolation("runs twice, also on " + id.text(), order.task);
    }
  }
  for (const int earlier : step == nullptr ? std::vector<int>() : step->after) {
    const StepSpec& before =
        m_jobs.at(order.task.job).work.steps[static_cast<std::size_t>(earlier)];
    for (int index = 0; index < before.count; ++index) {
      if (!m_done.contains(TaskName{order.task.job, 0, earlier, index})) {
        AddViolation("started before an earlier step was done", order.task);
      }
    }
  }
}

void FleetMinions::Stop(const MinionAddress& address, const StopOrder& order,
                        const std::function<void(OrderAnswer)>& answer) {
  Minion& minion = m_minions.at(address.id);
  if (FailsCall(minion, address, kOrderTimeout, [answer](OrderResult result) {
        answer(OrderAnswer{result, {}, "gone"});
      })) {
    return;
  }
  const OrderFault fault = NextFault(minion);
  if (!minion.is_reachable || fault == OrderFault::kLost || fault == OrderFault::kRefused) {
    m_timers.After(kOrderTimeout, [answer] {
      answer(OrderAnswer{OrderResult::kUnclear, {}, "lost"});
    });
    return;
  }
  if (fault == OrderFault::kLate) {
    CarryOutLater(address.id, [this, order](Minion& later) { CarryOutStop(later, order); });
    m_timers.After(kOrderTimeout, [answer] {
      answer(OrderAnswer{OrderResult::kUnclear, {}, "late"});
    });
    return;
  }
  const OrderAnswer done = CarryOutStop(minion, order);
  if (fault == OrderFault::kAnswerLost) {
    m_timers.After(kOrderTimeout, [answer] {
      answer(OrderAnswer{OrderResult::kUnclear, {}, "lost"});
    });
  } else {
    m_timers.After(kNetworkDelay, [answer, done] { answer(done); });
  }
}

OrderAnswer FleetMinions::CarryOutStop(Minion& minion, const StopOrder& order) {
  AdvanceAll();
  if (order.token < minion.token) {
    return OrderAnswer{OrderResult::kFenced, ClockOf(minion), "fence"};
  }
  minion.token = order.token;
  AttemptNumber& barred = minion.barred[order.task];
  barred = std::max(barred, order.attempt);
  const auto run = minion.runs.find(order.task);
  if (run != minion.runs.end() && run->second.attempt <= order.attempt &&
      !run->second.is_stopping) {
    run->second.is_stopping = true;
    m_timers.After(kStopDuration,
                   [this, id = minion.id, task = order.task, attempt = order.attempt] {
                     Minion& later = m_minions.at(id);
                     const auto stopped = later.runs.find(task);
                     if (stopped != later.runs.end() && stopped->second.attempt <= attempt) {
                       End(later, task, EndKind::kStopped);
                     }
                   });
  }
  return OrderAnswer{OrderResult::kDone, ClockOf(minion), ""};
}

}  // namespace papayalift
