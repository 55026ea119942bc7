#include "libraries/planner/reclaim_search.h"

#include <algorithm>
#include <limits>

#include "libraries/planner/placement_search.h"

namespace papayalift {

namespace {

enum class VictimScope { kLowerPriorities, kBorrowersToo };

/// What all attempts to reclaim capacity for one step share.
struct ReclaimRequest {
  const PendingStep& pending;
  const PlanCapacity& capacity;
  const std::vector<PlanVictim>& victims;
  const std::vector<bool>& is_stopped;
  VictimScope scope;
  /// Slower minions are left out.
  double min_speed = 0;

  bool MayStop(std::size_t victim) const {
    return !is_stopped[victim] &&
           (victims[victim].priority > pending.priority ||
            (victims[victim].is_borrower && scope == VictimScope::kBorrowersToo));
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

  /// Empty if the tasks do not all fit, or if that loses `max_lost_work` or more.
  std::optional<FoundReclaim> Run(double max_lost_work) {
    for (const int index : m_request.pending.task_indexes) {
      if (!PlaceTask(index) || m_found.lost_work >= max_lost_work) {
        return std::nullopt;
      }
    }
    return std::move(m_found);
  }

 private:
  /// The victims that must be stopped to fit one task on a minion.
  struct ReclaimOption {
    std::vector<std::size_t> victims;
    double lost_work = 0;
    std::int64_t leftover = 0;
  };

  struct Candidate {
    Resources capacity;
    int slots = 0;
    /// Empty if not even stopping all permitted victims makes room for a task.
    std::optional<ReclaimOption> option;
  };

  Candidate MakeCandidate(std::size_t index) const {
    const MinionCapacity& minion = m_request.capacity.minions()[index];
    Candidate candidate;
    if (IsEligible(m_request.pending, *minion.minion) &&
        minion.minion->speed >= m_request.min_speed) {
      candidate.capacity = minion.free_after_stops;
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
    if (!needs.Fits(capacity)) {
      for (const std::size_t victim : CheapestVictimsOn(minion)) {
        capacity += FreedOn(minion, victim);
        option.victims.push_back(victim);
        option.lost_work += m_request.victims[victim].unsaved_work;
        if (needs.Fits(capacity)) {
          break;
        }
      }
    }
    if (!needs.Fits(capacity)) {
      return std::nullopt;
    }
    option.leftover = (capacity - needs).accelerators;
    return option;
  }

  std::vector<std::size_t> CheapestVictimsOn(std::size_t minion) const {
    std::vector<std::size_t> cheapest;
    for (const std::size_t victim : m_request.capacity.minions()[minion].victims) {
      if (m_request.MayStop(victim) && !IsChosen(victim)) {
        cheapest.push_back(victim);
      }
    }
    std::sort(cheapest.begin(), cheapest.end(), [this](std::size_t left, std::size_t right) {
      return m_request.victims[left].unsaved_work < m_request.victims[right].unsaved_work;
    });
    return cheapest;
  }

  bool PlaceTask(int index) {
    const Candidate* best = nullptr;
    for (const Candidate& candidate : m_candidates) {
      const bool is_better =
          candidate.option.has_value() &&
          (best == nullptr || candidate.option->lost_work < best->option->lost_work ||
           (candidate.option->lost_work == best->option->lost_work &&
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
      for (const std::size_t minion : m_request.capacity.MinionsOfVictim(victim)) {
        const auto found = std::lower_bound(m_minions.begin(), m_minions.end(), minion);
        if (found != m_minions.end() && *found == minion) {
          changed.push_back(static_cast<std::size_t>(found - m_minions.begin()));
          m_candidates[changed.back()].capacity += m_request.victims[victim].needs_per_task;
        }
      }
    }
    m_found.lost_work += option.lost_work;
    const std::size_t minion = m_minions[position];
    m_found.placements.push_back(
        PlannedPlacement{index, m_request.capacity.minions()[minion].minion->id});
    m_candidates[position].capacity -= m_request.pending.spec.needs;
    --m_candidates[position].slots;
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
        request.capacity.minions()[minion].free_after_reclaim, wanted);
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
    const double max_lost_work = best.has_value() ? best->lost_work : allowed;
    if (std::optional<FoundReclaim> found = ReclaimAttempt(request, minions).Run(max_lost_work)) {
      best = std::move(found);
    }
  };
  if (!pending.spec.data_rack.empty()) {
    try_minions(request.capacity.OnRack(pending.spec.data_rack));
  } else if (pending.spec.prefers_one_rack) {
    for (const auto& [rack, minions] : request.capacity.racks()) {
      if (best.has_value() && best->lost_work <= 0) {
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
    request.min_speed = request.pending.min_speed;
    if (std::optional<FoundReclaim> found = FindAmong(request)) {
      return found;
    }
    request.min_speed = 0;
  }
  return FindAmong(request);
}

}  // namespace

std::optional<FoundReclaim> FindReclaim(const PendingStep& pending, const PlanCapacity& capacity,
                                        const std::vector<PlanVictim>& victims,
                                        const std::vector<bool>& is_stopped) {
  std::optional<FoundReclaim> found = FindInScope(
      ReclaimRequest{pending, capacity, victims, is_stopped, VictimScope::kLowerPriorities});
  if (!found.has_value() && pending.may_stop_borrowers) {
    found = FindInScope(
        ReclaimRequest{pending, capacity, victims, is_stopped, VictimScope::kBorrowersToo});
  }
  return found;
}

}  // namespace papayalift
