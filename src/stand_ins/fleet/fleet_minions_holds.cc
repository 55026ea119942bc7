#include <algorithm>

#include "stand_ins/fleet/fleet_minions.h"

namespace papayalift {

namespace {

constexpr Milliseconds kNetworkDelay{2};
/// Added to the wait of a hold call to get its timeout.
constexpr Milliseconds kHoldTimeoutMargin{800};
constexpr Milliseconds kHoldPollInterval{20};

}  // namespace

void FleetMinions::Hold(const MinionAddress& address, const HoldOrder& order,
                        const std::function<void(HoldAnswer)>& answer) {
  Minion& minion = m_minions.at(address.id);
  const auto fail = [answer](OrderResult result) {
    HoldAnswer failed;
    failed.result = result;
    answer(failed);
  };
  if (FailsCall(minion, address, order.wait + kHoldTimeoutMargin, fail)) {
    return;
  }
  if (!minion.is_reachable) {
    m_timers.After(order.wait + kHoldTimeoutMargin, [answer] { answer(HoldAnswer{}); });
    return;
  }
  if (!FailsHold(minion, order, answer)) {
    PollHold(address.id, minion.started_at, order, m_timers.clock().Now() + order.wait, answer);
  }
}

/// Applies the next fault of hold calls, if there is one.
bool FleetMinions::FailsHold(Minion& minion, const HoldOrder& order,
                             const std::function<void(HoldAnswer)>& answer) {
  if (minion.hold_faults.empty()) {
    return false;
  }
  const OrderFault fault = minion.hold_faults.front();
  minion.hold_faults.pop_front();
  if (fault == OrderFault::kNone) {
    return false;
  }
  if (fault == OrderFault::kAnswerLost) {
    CarryOutHold(minion, order);
  } else if (fault == OrderFault::kLate) {
    CarryOutLater(minion.id, [this, order](Minion& later) { CarryOutHold(later, order); });
  }
  m_timers.After(order.wait + kHoldTimeoutMargin, [answer] { answer(HoldAnswer{}); });
  return true;
}

void FleetMinions::PollHold(const MinionId& id, Milliseconds started_at, const HoldOrder& order,
                            Milliseconds until, const std::function<void(HoldAnswer)>& answer) {
  Minion& minion = m_minions.at(id);
  if (minion.outage == OutageKind::kSilent || minion.cut_off_from_callers == OutageKind::kSilent) {
    m_timers.After(until - m_timers.clock().Now() + kHoldTimeoutMargin,
                   [answer] { answer(HoldAnswer{}); });
    return;
  }
  if (minion.started_at != started_at || minion.outage.has_value() ||
      minion.cut_off_from_callers.has_value()) {
    // The connection to the process that was called is gone.
    answer(HoldAnswer{});
    return;
  }
  const HoldAnswer report = CarryOutHold(minion, order);
  const bool is_due = report.result != OrderResult::kDone || !report.report.ended.empty() ||
                      m_timers.clock().Now() >= until || !minion.is_reachable;
  if (is_due) {
    m_timers.After(kNetworkDelay, [answer, report] { answer(report); });
    return;
  }
  m_timers.After(kHoldPollInterval, [this, id, started_at, order, until, answer] {
    PollHold(id, started_at, order, until, answer);
  });
}

void FleetMinions::Acknowledge(Minion& minion, EndNumber acknowledged) {
  for (const EndedRun& end : minion.ended) {
    if (end.number > acknowledged || end.kind != EndKind::kDone) {
      continue;
    }
    m_acknowledged_done.insert(end.task);
    // An end does not count if the minion's lease expired between it and its acknowledgement.
    const auto later = m_started_after_done.find(end.task);
    if (later != m_started_after_done.end() && later->second > end.attempt &&
        !minion.lapsed_ends.contains(end.number)) {
      AddViolation("started after it was done, and its end was acknowledged later", end.task);
    }
  }
  std::erase_if(minion.ended,
                [acknowledged](const EndedRun& end) { return end.number <= acknowledged; });
}

HoldAnswer FleetMinions::CarryOutHold(Minion& minion, const HoldOrder& order) {
  AdvanceAll();
  HoldAnswer answer;
  if (order.token < minion.token) {
    answer.result = OrderResult::kFenced;
    return answer;
  }
  minion.token = order.token;
  if (order.lease_until.has_value()) {
    ExtendLease(minion, *order.lease_until);
  }
  Acknowledge(minion, order.acknowledged);
  answer.result = OrderResult::kDone;
  answer.report.clock = ClockOf(minion);
  answer.report.incarnation = MinionIncarnation(minion.started_at.count());
  const std::size_t listed = std::min(minion.ended.size(), m_max_ends_per_report);
  answer.report.ended.assign(minion.ended.begin(),
                             minion.ended.begin() + static_cast<std::ptrdiff_t>(listed));
  answer.report.lists_all_ends = listed < m_max_ends_per_report;
  for (const auto& [task, run] : minion.runs) {
    answer.report.active.push_back(ActiveRun{task, run.attempt, run.checkpoint, PercentOf(run)});
  }
  return answer;
}

}  // namespace papayalift
