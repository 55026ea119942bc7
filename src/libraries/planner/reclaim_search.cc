#include "libraries/planner/reclaim_search.h"

#include <algorithm>
#include <limits>

#include "libraries/planner/delay_cost.h"
#include "libraries/planner/placement_search.h"

namespace papayalift {

namespace {

enum class VictimScope { kLowerPriorities, kBorrowersToo };

/// What all attempts to reclaim capacity for one step share.
struct ReclaimRequest {
  const PendingStep& pending;
  const PlanCapacity& capacity;
  const std::vector<PlanVictim>& victims;
  /// CostOfStop() of each victim.
  const std::vector<double>& costs;
  const std::vector<bool>& is_stopped;
  VictimScope scope;
  DelayPolicy policy;
  /// Minions on which the step would be late are left out.
  bool only_fast_enough = false;

  bool MayStop(std::size_t victim) const {
    return !is_stopped[victim] && !pending.may_only_await_stops && !EndsSoon(victim) &&
           (victims[victim].priority > pending.priority ||
            (victims[victim].is_borrower && scope == VictimScope::kBorrowersToo));
  }

  /// Whether stopping it would free capacity that is counted as freed by itself.
  bool EndsSoon(std::size_t victim) const {
    return victims[victim].first_end.has_value() &&
           *victims[victim].first_end < pending.max_wait_for_ends;
  }

  /// Capacity of the runs on the minion that show that they end while the step can wait.
  Resources FreedSoonOn(std::size_t minion) const {
    Resources freed;
    if (pending.max_wait_for_ends > Milliseconds(0)) {
      for (const PlanRun& run : capacity.minions()[minion].minion->runs) {
        if (run.shows_end && run.remaining < pending.max_wait_for_ends) {
          freed += run.needs;
        }
      }
    }
    return freed;
  }
};

/// One attempt to place all tasks on some of the minions.
class ReclaimAttempt {
 public:
  /// `minions` are indexes into the capacity's minions, in ascending order; they outlive the
  /// attempt.
  ReclaimAttempt(const ReclaimRequest& request, const std::vector<std::size_t>& minions)
      : m_request(request), m_minions(minions) {
    m_candidates.reserve(minions.size());
    for (const std::size_t minion : minions) {
      m_candidates.push_back(MakeCandidate(minion));
    }
  }

  /// Empty if the tasks do not all fit, or if that costs `max_cost` or more.
  std::optional<FoundReclaim> Run(double max_cost) {
    for (const int index : m_request.pending.task_indexes) {
      if (!PlaceTask(index) || m_found.cost >= max_cost) {
        return std::nullopt;
      }
    }
    if (m_request.policy == DelayPolicy::kByCost) {
      DropRedundantVictims();
    }
    return std::move(m_found);
  }

 private:
  /// The victims that must be stopped to fit one task on a minion.
  struct ReclaimOption {
    std::vector<std::size_t> victims;
    double cost = 0;
    std::int64_t leftover = 0;
  };

  struct Candidate {
    Resources capacity;
    int slots = 0;
    bool has_task = false;
    /// Empty if not even stopping all permitted victims makes room for a task.
    std::optional<ReclaimOption> option;
  };

  Candidate MakeCandidate(std::size_t index) const {
    const MinionCapacity& minion = m_request.capacity.minions()[index];
    Candidate candidate;
    if (IsEligible(m_request.pending, *minion.minion) &&
        (!m_request.only_fast_enough || IsFastEnough(m_request.pending, *minion.minion))) {
      candidate.capacity = minion.free_after_stops + m_request.FreedSoonOn(index);
      candidate.slots = SlotsOn(minion);
      candidate.option = OptionOn(index, candidate);
    }
    return candidate;
  }

  int SlotsOn(const MinionCapacity& minion) const {
    const PendingStep& pending = m_request.pending;
    if (pending.spec.max_tasks_per_worker == 0) {
      return static_cast<int>(pending.task_indexes.size());
    }
    const auto found = pending.placed_on_minion.find(minion.minion->id);
    return pending.spec.max_tasks_per_worker -
           (found == pending.placed_on_minion.end() ? 0 : found->second);
  }

  Resources FreedOn(std::size_t minion, std::size_t victim) const {
    const std::vector<std::size_t>& minions = m_request.capacity.MinionsOfVictim(victim);
    return m_request.victims[victim].needs_per_task *
           std::count(minions.begin(), minions.end(), minion);
  }

  bool IsChosen(std::size_t victim) const {
    return std::find(m_found.victims.begin(), m_found.victims.end(), victim) !=
           m_found.victims.end();
  }

  std::optional<ReclaimOption> OptionOn(std::size_t minion, const Candidate& candidate) const {
    const Resources& needs = m_request.pending.spec.needs;
    if (candidate.slots <= 0) {
      return std::nullopt;
    }
    ReclaimOption option;
    Resources capacity = candidate.capacity;
    const std::vector<std::size_t> cheapest =
        needs.Fits(capacity) ? std::vector<std::size_t>() : CheapestVictimsOn(minion);
    for (const std::size_t victim : cheapest) {
      capacity += FreedOn(minion, victim);
      option.victims.push_back(victim);
      if (needs.Fits(capacity)) {
        break;
      }
    }
    if (!needs.Fits(capacity)) {
      return std::nullopt;
    }
    if (m_request.policy == DelayPolicy::kByCost) {
      DropRedundant(minion, capacity, option.victims);
    }
    option.cost = CostOf(option.victims);
    option.leftover = (capacity - needs).accelerators;
    return option;
  }

  double CostOf(const std::vector<std::size_t>& victims) const {
    double cost = 0;
    for (const std::size_t victim : victims) {
      cost += m_request.costs[victim];
    }
    return cost;
  }

  /// Drops victims without which a task fits as well, the costliest first. `capacity` is what all
  /// of them leave.
  void DropRedundant(std::size_t minion, Resources& capacity,
                     std::vector<std::size_t>& victims) const {
    for (std::size_t position = victims.size(); position > 0; --position) {
      const Resources without = capacity - FreedOn(minion, victims[position - 1]);
      if (m_request.pending.spec.needs.Fits(without)) {
        capacity = without;
        victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(position - 1));
      }
    }
  }

  std::vector<std::size_t> CheapestVictimsOn(std::size_t minion) const {
    std::vector<std::size_t> cheapest;
    for (const std::size_t victim : m_request.capacity.minions()[minion].victims) {
      if (m_request.MayStop(victim) && !IsChosen(victim)) {
        cheapest.push_back(victim);
      }
    }
    std::sort(cheapest.begin(), cheapest.end(), [this](std::size_t left, std::size_t right) {
      return m_request.costs[left] < m_request.costs[right];
    });
    return cheapest;
  }

  /// A gang that is stopped for one task makes room for others too, which may leave former choices
  /// without need.
  void DropRedundantVictims() {
    std::vector<std::size_t> costliest_first = m_found.victims;
    std::stable_sort(costliest_first.begin(), costliest_first.end(),
                     [this](std::size_t left, std::size_t right) {
                       return m_request.costs[left] > m_request.costs[right];
                     });
    for (const std::size_t victim : costliest_first) {
      if (!IsNeeded(victim)) {
        AddFreed(victim, -1);
        m_found.cost -= m_request.costs[victim];
        std::erase(m_found.victims, victim);
      }
    }
  }

  /// Whether a minion that was given a task has too little capacity without the victim's.
  bool IsNeeded(std::size_t victim) const {
    const std::vector<std::size_t>& freed = m_request.capacity.MinionsOfVictim(victim);
    return std::any_of(freed.begin(), freed.end(), [this, victim](std::size_t minion) {
      const auto found = std::lower_bound(m_minions.begin(), m_minions.end(), minion);
      if (found == m_minions.end() || *found != minion) {
        return false;
      }
      const Candidate& candidate =
          m_candidates[static_cast<std::size_t>(found - m_minions.begin())];
      return candidate.has_task && !Resources{}.Fits(candidate.capacity - FreedOn(minion, victim));
    });
  }

  /// Adds what the victim's runs free to their minions, or takes it away if `times` is -1. Returns
  /// the positions of these minions.
  std::vector<std::size_t> AddFreed(std::size_t victim, std::int64_t times) {
    std::vector<std::size_t> changed;
    for (const std::size_t minion : m_request.capacity.MinionsOfVictim(victim)) {
      const auto found = std::lower_bound(m_minions.begin(), m_minions.end(), minion);
      if (found != m_minions.end() && *found == minion) {
        changed.push_back(static_cast<std::size_t>(found - m_minions.begin()));
        m_candidates[changed.back()].capacity += m_request.victims[victim].needs_per_task * times;
      }
    }
    return changed;
  }

  bool PlaceTask(int index) {
    const Candidate* best = nullptr;
    for (const Candidate& candidate : m_candidates) {
      const bool is_better = candidate.option.has_value() &&
                             (best == nullptr || candidate.option->cost < best->option->cost ||
                              (candidate.option->cost == best->option->cost &&
                               candidate.option->leftover < best->option->leftover));
      if (is_better) {
        best = &candidate;
      }
    }
    if (best == nullptr) {
      return false;
    }
    Accept(index, static_cast<std::size_t>(best - m_candidates.data()));
    return true;
  }

  /// Recomputes the options of the minions that the choice changes; the others stay valid.
  void Accept(int index, std::size_t position) {
    const ReclaimOption option = *m_candidates[position].option;
    std::vector<std::size_t> changed{position};
    for (const std::size_t victim : option.victims) {
      m_found.victims.push_back(victim);
      const std::vector<std::size_t> freed = AddFreed(victim, 1);
      changed.insert(changed.end(), freed.begin(), freed.end());
    }
    m_found.cost += option.cost;
    const std::size_t minion = m_minions[position];
    m_found.placements.push_back(
        PlannedPlacement{index, m_request.capacity.minions()[minion].minion->id});
    m_candidates[position].capacity -= m_request.pending.spec.needs;
    --m_candidates[position].slots;
    m_candidates[position].has_task = true;
    for (const std::size_t other : changed) {
      m_candidates[other].option = OptionOn(m_minions[other], m_candidates[other]);
    }
  }

  const ReclaimRequest& m_request;
  const std::vector<std::size_t>& m_minions;
  std::vector<Candidate> m_candidates;
  FoundReclaim m_found;
};

/// Whether all tasks would fit on the minions if all victims of lower priority were stopped.
bool FitsAfterReclaim(const ReclaimRequest& request, const std::vector<std::size_t>& minions) {
  const std::int64_t wanted = static_cast<std::int64_t>(request.pending.task_indexes.size());
  std::int64_t fitting = 0;
  for (const std::size_t minion : minions) {
    fitting += request.pending.spec.needs.MaxCountIn(
        request.capacity.minions()[minion].free_after_reclaim + request.FreedSoonOn(minion),
        wanted);
    if (fitting >= wanted) {
      return true;
    }
  }
  return false;
}

std::optional<FoundReclaim> FindAmong(const ReclaimRequest& request) {
  const PendingStep& pending = request.pending;
  std::optional<FoundReclaim> best;
  const auto try_minions = [&request, &best](const std::vector<std::size_t>& minions) {
    if (request.scope == VictimScope::kLowerPriorities && !FitsAfterReclaim(request, minions)) {
      return;
    }
    const double allowed = request.pending.is_guaranteed ? std::numeric_limits<double>::infinity()
                                                         : request.pending.max_lost_work;
    const double max_cost = best.has_value() ? best->cost : allowed;
    if (std::optional<FoundReclaim> found = ReclaimAttempt(request, minions).Run(max_cost)) {
      best = std::move(found);
    }
  };
  if (!pending.spec.data_rack.empty()) {
    try_minions(request.capacity.OnRack(pending.spec.data_rack));
  } else if (pending.spec.prefers_one_rack) {
    for (const auto& [rack, minions] : request.capacity.racks()) {
      if (best.has_value() && best->cost <= 0) {
        break;
      }
      try_minions(minions);
    }
  }
  const bool prefers_rack = pending.spec.prefers_one_rack || !pending.spec.data_rack.empty();
  // Work away from its rack takes several times as long, which only a guarantee is worth.
  if (!best.has_value() && (pending.is_guaranteed || !prefers_rack)) {
    try_minions(request.capacity.everywhere());
  }
  return best;
}

/// Prefers to stop runs on minions that are fast enough for the step: on others it would be late.
std::optional<FoundReclaim> FindInScope(ReclaimRequest request) {
  if (request.pending.min_speed > 0) {
    request.only_fast_enough = true;
    if (std::optional<FoundReclaim> found = FindAmong(request)) {
      return found;
    }
    request.only_fast_enough = false;
  }
  return FindAmong(request);
}

}  // namespace

std::optional<FoundReclaim> FindReclaim(const PendingStep& pending, const PlanCapacity& capacity,
                                        const PlanSnapshot& snapshot,
                                        const std::vector<bool>& is_stopped) {
  const std::vector<PlanVictim>& victims = snapshot.victims;
  std::vector<double> costs;
  costs.reserve(victims.size());
  for (const PlanVictim& victim : victims) {
    costs.push_back(CostOfStop(victim, snapshot.policy));
  }
  ReclaimRequest request{pending,        capacity,   victims,
                         costs,          is_stopped, VictimScope::kLowerPriorities,
                         snapshot.policy};
  std::optional<FoundReclaim> found = FindInScope(request);
  if (!found.has_value() && pending.may_stop_borrowers) {
    request.scope = VictimScope::kBorrowersToo;
    found = FindInScope(request);
  }
  return found;
}

}  // namespace papayalift
