#include "libraries/planner/delay_cost.h"

#include <algorithm>
#include <utility>

namespace papayalift {

namespace {

/// A step with guaranteed priority, but beyond its guarantee, that must start within this time to
/// be on time may stop runs of lower priority. Load that it answers: a burst of short jobs beyond
/// the guarantees, while long ones of low priority fill the fleet.
constexpr Milliseconds kUrgentSlack{2'000};
/// Work that such a step may make others lose, relative to its own.
constexpr double kMaxLostWorkShare = 0.5;
/// A step waits for runs to end for at most its time to spare divided by this. The rest covers gang
/// members that take longer than estimated, and runs that end later than expected.
constexpr int kSpareTimeDivisor = 2;
/// Share of its value that a job loses by being late.
constexpr double kLateLoss = 0.5;
/// Each former stop makes a run dearer by its unsaved work, at most this often.
constexpr int kMaxCountedStops = 4;

Milliseconds MaxWaitForEnds(const ReclaimFacts& facts) {
  const Milliseconds to_spare = (facts.slack - kStartTime) / kSpareTimeDivisor;
  const bool is_late = facts.slack < Milliseconds(0);
  if (!facts.is_guaranteed) {
    return std::max(Milliseconds(0), to_spare);
  }
  if (!facts.is_age_certain || facts.age >= kLastReclaimDecision) {
    return Milliseconds(0);
  }
  const Milliseconds until_decision = kLastReclaimDecision - facts.age;
  // A stop would not make room any sooner than after kStopTime.
  return is_late ? until_decision : std::min(until_decision, std::max(kStopTime, to_spare));
}

/// Value of a job whose work is small beside the mean of its class, relative to one of mean work.
constexpr double kValueWithoutWork = 0.3;
/// After this wait a step is now and then served first: for one second of each ten.
constexpr Milliseconds kLongWait{30'000};
constexpr Milliseconds kLongWaitPeriod{10'000};
constexpr Milliseconds kLongWaitTurn{1'000};

/// A step with what its delay is judged by.
struct JudgedStep {
  const PendingStep* step = nullptr;
  double share = 0;
  /// Value for each unit of work that it still needs.
  double density = 0;
};

bool IsWorthless(const PendingStep& step) {
  return step.slack < Milliseconds(0) && step.worthless_slack < Milliseconds(0);
}

double WorkOf(const DelayCandidate& candidate) {
  return candidate.share * static_cast<double>(candidate.step->spec.estimate.count());
}

/// Work of all tasks of the step, those that run or are done included.
double WholeWorkOf(const DelayCandidate& candidate) {
  const double waiting = std::max(1.0, static_cast<double>(candidate.step->task_indexes.size()));
  return WorkOf(candidate) * std::max(1.0, candidate.step->spec.count / waiting);
}

std::vector<JudgedStep> Judge(const std::vector<DelayCandidate>& candidates) {
  double sum = 0;
  for (const DelayCandidate& candidate : candidates) {
    sum += WholeWorkOf(candidate);
  }
  const double mean = sum / std::max(1.0, static_cast<double>(candidates.size()));
  std::vector<JudgedStep> judged;
  for (const DelayCandidate& candidate : candidates) {
    const double relative = mean <= 0 ? 1 : WholeWorkOf(candidate) / mean;
    const double value = kValueWithoutWork + (1 - kValueWithoutWork) * relative;
    const double needed = mean <= 0 ? 1 : WorkOf(candidate) / mean;
    constexpr double kLeastWork = 1e-6;
    judged.push_back(
        JudgedStep{candidate.step, candidate.share, value / std::max(kLeastWork, needed)});
  }
  return judged;
}

bool HasMoreDensity(const JudgedStep& left, const JudgedStep& right) {
  return left.density > right.density;
}

/// Takes the steps that can be on time out of `steps`, in their order (Moore and Hodgson's rule,
/// with the density of value in place of the length).
std::vector<JudgedStep> TakeOnTime(std::vector<JudgedStep>& steps, double turnover) {
  std::vector<std::size_t> accepted;
  std::vector<bool> is_on_time(steps.size(), false);
  double share = 0;
  const auto has_more_density = [&steps](std::size_t left, std::size_t right) {
    return HasMoreDensity(steps[left], steps[right]);
  };
  for (std::size_t number = 0; number < steps.size(); ++number) {
    const PendingStep& step = *steps[number].step;
    if (step.slack < Milliseconds(0)) {
      continue;
    }
    accepted.push_back(number);
    std::push_heap(accepted.begin(), accepted.end(), has_more_density);
    is_on_time[number] = true;
    share += steps[number].share;
    if (share * turnover > static_cast<double>(step.slack.count())) {
      std::pop_heap(accepted.begin(), accepted.end(), has_more_density);
      is_on_time[accepted.back()] = false;
      share -= steps[accepted.back()].share;
      accepted.pop_back();
    }
  }
  std::vector<JudgedStep> on_time;
  std::vector<JudgedStep> rest;
  for (std::size_t number = 0; number < steps.size(); ++number) {
    (is_on_time[number] ? on_time : rest).push_back(steps[number]);
  }
  steps = std::move(rest);
  return on_time;
}

/// Moves the step that has waited longest to the front, if it is its turn.
void ServeLongWait(std::vector<const PendingStep*>& order) {
  const auto longest = std::max_element(order.begin(), order.end(),
                                        [](const PendingStep* left, const PendingStep* right) {
                                          return left->waited < right->waited;
                                        });
  if (longest != order.end() && (*longest)->waited >= kLongWait &&
      (*longest)->waited % kLongWaitPeriod < kLongWaitTurn) {
    std::rotate(order.begin(), longest, longest + 1);
  }
}

}  // namespace

ReclaimLimits LimitReclaim(const ReclaimFacts& facts, DelayPolicy policy) {
  ReclaimLimits limits;
  const bool is_urgent = facts.slack >= Milliseconds(0) && facts.slack < kUrgentSlack;
  if (facts.priority == kGuaranteedPriority && !facts.is_guaranteed && is_urgent) {
    limits.max_lost_work = kMaxLostWorkShare * facts.work;
  }
  const bool may_reclaim = facts.is_guaranteed || limits.max_lost_work > 0;
  if (policy == DelayPolicy::kByCost && may_reclaim) {
    limits.max_wait_for_ends = MaxWaitForEnds(facts);
    limits.may_only_await_stops = !facts.is_guaranteed && facts.slack < kStopTime + kStartTime;
  }
  return limits;
}

double CostOfStop(const PlanVictim& victim, DelayPolicy policy) {
  if (policy == DelayPolicy::kBySlack) {
    return victim.unsaved_work;
  }
  const int stops = std::min(victim.times_stopped, kMaxCountedStops);
  const bool turns_late =
      victim.slack >= Milliseconds(0) && victim.slack_if_stopped < Milliseconds(0);
  return victim.unsaved_work * (1 + stops) + (turns_late ? kLateLoss * victim.work : 0);
}

std::vector<const PendingStep*> PassOver(const std::vector<DelayCandidate>& candidates,
                                         double turnover) {
  std::vector<JudgedStep> rest = Judge(candidates);
  std::vector<JudgedStep> ordered = TakeOnTime(rest, turnover);
  const auto worthless =
      std::stable_partition(rest.begin(), rest.end(),
                            [](const JudgedStep& judged) { return !IsWorthless(*judged.step); });
  std::stable_sort(rest.begin(), worthless, HasMoreDensity);
  std::stable_sort(worthless, rest.end(), [](const JudgedStep& left, const JudgedStep& right) {
    return left.step->waited > right.step->waited;
  });
  ordered.insert(ordered.end(), rest.begin(), rest.end());
  std::vector<const PendingStep*> order;
  order.reserve(ordered.size());
  for (const JudgedStep& judged : ordered) {
    order.push_back(judged.step);
  }
  ServeLongWait(order);
  return order;
}

}  // namespace papayalift
