#include "libraries/planner/planning_order.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "libraries/planner/delay_cost.h"

namespace papayalift {

namespace {

/// Steps among which slack and cost decide.
using StepGroup = std::tuple<bool, Priority, bool>;

StepGroup GroupOf(const PendingStep& step, const std::set<WorkspaceId>& over_share) {
  return {!step.is_guaranteed, step.priority, over_share.contains(step.workspace)};
}

bool IsMoreUrgent(const PendingStep& left, const PendingStep& right) {
  const bool left_late = left.slack < Milliseconds(0);
  const bool right_late = right.slack < Milliseconds(0);
  if (left_late != right_late) {
    return right_late;
  }
  if (left.slack != right.slack) {
    return left.slack < right.slack;
  }
  return std::pair(left.job, left.step) < std::pair(right.job, right.step);
}

/// Size of resources relative to a service, by the kind of which they take the largest share.
double ShareOf(const Resources& resources, const Resources& whole) {
  const auto share = [](std::int64_t part, std::int64_t all) {
    return all <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(all);
  };
  return std::max(share(resources.cpu_milli, whole.cpu_milli),
                  share(resources.accelerators, whole.accelerators));
}

Resources NeedsOf(const PendingStep& step) {
  return step.spec.needs * static_cast<std::int64_t>(step.task_indexes.size());
}

/// Offers the steps of one service capacity in the order by urgency and passes over those that
/// must give way.
class ServiceOrder {
 public:
  ServiceOrder(const PlanSnapshot& snapshot, const ServiceId& service,
               const std::vector<const PendingStep*>& steps) {
    for (const PlanMinion& minion : snapshot.minions) {
      if (minion.service == service && !minion.is_avoided) {
        m_capacity += minion.capacity;
        m_free += minion.free;
      }
    }
    double share = 0;
    double share_seconds = 0;
    for (const PendingStep* const step : steps) {
      m_wanted += NeedsOf(*step);
      share += ShareOf(NeedsOf(*step), m_capacity);
      share_seconds +=
          ShareOf(NeedsOf(*step), m_capacity) * static_cast<double>(step->spec.estimate.count());
    }
    m_mean_length = share <= 0 ? 0 : share_seconds / share;
  }

  bool is_short() const { return !m_wanted.Fits(m_free); }

  /// Orders the steps of one group, which are sorted by urgency.
  std::vector<const PendingStep*> Order(const std::vector<const PendingStep*>& group) const {
    std::vector<DelayCandidate> candidates;
    candidates.reserve(group.size());
    for (const PendingStep* const step : group) {
      candidates.push_back(DelayCandidate{step, ShareOf(NeedsOf(*step), m_capacity)});
    }
    return PassOver(candidates, m_mean_length);
  }

 private:
  Resources m_capacity;
  Resources m_free;
  Resources m_wanted;
  /// Of the waiting tasks, weighted by the capacity that they take; in milliseconds.
  double m_mean_length = 0;
};

using StepIterator = std::vector<const PendingStep*>::iterator;

/// Steps of services that are not short keep their places, and so do all of guaranteed priority.
void OrderGroup(StepIterator begin, StepIterator end,
                const std::map<ServiceId, ServiceOrder>& service_orders) {
  // These steps may stop others, so they need not wait for their turn.
  if ((*begin)->priority == kGuaranteedPriority) {
    return;
  }
  std::map<ServiceId, std::vector<StepIterator>> places;
  for (auto step = begin; step != end; ++step) {
    places[(*step)->service].push_back(step);
  }
  for (const auto& [service, places_of_service] : places) {
    const ServiceOrder& service_order = service_orders.at(service);
    if (!service_order.is_short()) {
      continue;
    }
    std::vector<const PendingStep*> steps;
    for (const StepIterator place : places_of_service) {
      steps.push_back(*place);
    }
    const std::vector<const PendingStep*> ordered = service_order.Order(steps);
    for (std::size_t number = 0; number < ordered.size(); ++number) {
      *places_of_service[number] = ordered[number];
    }
  }
}

}  // namespace

std::vector<const PendingStep*> OrderSteps(const PlanSnapshot& snapshot,
                                           const std::set<WorkspaceId>& over_share) {
  std::vector<const PendingStep*> order;
  for (const PendingStep& pending : snapshot.pending_steps) {
    order.push_back(&pending);
  }
  std::sort(
      order.begin(), order.end(), [&over_share](const PendingStep* left, const PendingStep* right) {
        const StepGroup left_group = GroupOf(*left, over_share);
        const StepGroup right_group = GroupOf(*right, over_share);
        return left_group != right_group ? left_group < right_group : IsMoreUrgent(*left, *right);
      });
  if (snapshot.policy == DelayPolicy::kBySlack) {
    return order;
  }
  std::map<ServiceId, std::vector<const PendingStep*>> services;
  for (const PendingStep* const step : order) {
    services[step->service].push_back(step);
  }
  std::map<ServiceId, ServiceOrder> service_orders;
  for (const auto& [service, steps] : services) {
    service_orders.emplace(service, ServiceOrder(snapshot, service, steps));
  }
  for (auto begin = order.begin(); begin != order.end();) {
    const StepGroup group = GroupOf(**begin, over_share);
    const auto end = std::find_if(begin, order.end(), [&](const PendingStep* step) {
      return GroupOf(*step, over_share) != group;
    });
    OrderGroup(begin, end, service_orders);
    begin = end;
  }
  return order;
}

}  // namespace papayalift
