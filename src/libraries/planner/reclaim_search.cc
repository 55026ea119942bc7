#include "libraries/planner/reclaim_search.h"

#include <algorithm>
#include <map>

#include "libraries/planner/placement_search.h"

namespace papayalift {

namespace {

enum class VictimScope { kLowerPriorities, kBorrowersToo };

/// One attempt to place all tasks on the minions of one rack, or on all minions if `rack` is null.
class ReclaimAttempt {
 public:
  ReclaimAttempt(const PendingStep& pending, const PlanCapacity& capacity,
                 const std::vector<PlanVictim>& victims, const std::vector<bool>& is_stopped,
                 VictimScope scope, const RackId* rack)
      : m_pending(pending), m_victims(victims), m_is_stopped(is_stopped), m_scope(scope) {
    for (const MinionCapacity& minion : capacity.minions()) {
      if (IsEligible(pending, *minion.minion) &&
          (rack == nullptr || minion.minion->rack == *rack)) {
        m_candidates[minion.minion->id] =
            CandidateMinion{minion.free_after_stops, SlotsOn(minion), {}};
      }
    }
    for (std::size_t index = 0; index < victims.size(); ++index) {
      AddVictim(index);
    }
  }

  std::optional<FoundReclaim> Run() {
    for (const int index : m_pending.task_indexes) {
      if (!PlaceTask(index)) {
        return std::nullopt;
      }
    }
    return m_found;
  }

 private:
  struct CandidateMinion {
    Resources capacity;
    int slots = 0;
    /// Indexes of the victims with tasks on this minion, in ascending order.
    std::vector<std::size_t> victims;
  };

  /// The victims that must be stopped to fit one task on a minion.
  struct ReclaimOption {
    std::vector<std::size_t> victims;
    double lost_work = 0;
    std::int64_t leftover = 0;
  };

  int SlotsOn(const MinionCapacity& minion) const {
    if (m_pending.spec.max_tasks_per_worker == 0) {
      return static_cast<int>(m_pending.task_indexes.size());
    }
    const auto found = m_pending.placed_on_minion.find(minion.minion->id);
    return m_pending.spec.max_tasks_per_worker -
           (found == m_pending.placed_on_minion.end() ? 0 : found->second);
  }

  void AddVictim(std::size_t index) {
    const PlanVictim& victim = m_victims[index];
    const bool may_stop = victim.priority > m_pending.priority ||
                          (victim.is_borrower && m_scope == VictimScope::kBorrowersToo);
    if (m_is_stopped[index] || !may_stop) {
      return;
    }
    for (const PlannedPlacement& placement : victim.placements) {
      const auto candidate = m_candidates.find(placement.minion);
      if (candidate != m_candidates.end() &&
          (candidate->second.victims.empty() || candidate->second.victims.back() != index)) {
        candidate->second.victims.push_back(index);
      }
    }
  }

  Resources FreedOn(const MinionId& minion, std::size_t index) const {
    const PlanVictim& victim = m_victims[index];
    const std::int64_t count = std::count_if(
        victim.placements.begin(), victim.placements.end(),
        [&minion](const PlannedPlacement& placement) { return placement.minion == minion; });
    return victim.needs_per_task * count;
  }

  bool IsChosen(std::size_t index) const {
    return std::find(m_found.victims.begin(), m_found.victims.end(), index) !=
           m_found.victims.end();
  }

  std::optional<ReclaimOption> ReclaimOptionOn(const MinionId& id,
                                               const CandidateMinion& candidate) const {
    if (candidate.slots <= 0) {
      return std::nullopt;
    }
    ReclaimOption option;
    Resources capacity = candidate.capacity;
    std::vector<std::size_t> cheapest;
    for (const std::size_t index : candidate.victims) {
      if (!IsChosen(index)) {
        cheapest.push_back(index);
      }
    }
    std::sort(cheapest.begin(), cheapest.end(), [this](std::size_t left, std::size_t right) {
      return m_victims[left].unsaved_work < m_victims[right].unsaved_work;
    });
    for (const std::size_t index : cheapest) {
      if (m_pending.spec.needs.Fits(capacity)) {
        break;
      }
      capacity += FreedOn(id, index);
      option.victims.push_back(index);
      option.lost_work += m_victims[index].unsaved_work;
    }
    if (!m_pending.spec.needs.Fits(capacity)) {
      return std::nullopt;
    }
    option.leftover = (capacity - m_pending.spec.needs).accelerators;
    return option;
  }

  bool PlaceTask(int index) {
    const MinionId* best_minion = nullptr;
    ReclaimOption best;
    for (const auto& [id, candidate] : m_candidates) {
      const std::optional<ReclaimOption> option = ReclaimOptionOn(id, candidate);
      if (option.has_value() &&
          (best_minion == nullptr || option->lost_work < best.lost_work ||
           (option->lost_work == best.lost_work && option->leftover < best.leftover))) {
        best_minion = &id;
        best = *option;
      }
    }
    if (best_minion == nullptr) {
      return false;
    }
    Accept(index, *best_minion, best);
    return true;
  }

  void Accept(int index, const MinionId& minion, const ReclaimOption& option) {
    for (const std::size_t victim : option.victims) {
      m_found.victims.push_back(victim);
      for (const PlannedPlacement& placement : m_victims[victim].placements) {
        if (const auto candidate = m_candidates.find(placement.minion);
            candidate != m_candidates.end()) {
          candidate->second.capacity += m_victims[victim].needs_per_task;
        }
      }
    }
    m_found.lost_work += option.lost_work;
    m_found.placements.push_back(PlannedPlacement{index, minion});
    CandidateMinion& candidate = m_candidates.at(minion);
    candidate.capacity -= m_pending.spec.needs;
    --candidate.slots;
  }

  const PendingStep& m_pending;
  const std::vector<PlanVictim>& m_victims;
  const std::vector<bool>& m_is_stopped;
  const VictimScope m_scope;
  std::map<MinionId, CandidateMinion> m_candidates;
  FoundReclaim m_found;
};

std::optional<FoundReclaim> FindAmong(const PendingStep& pending, const PlanCapacity& capacity,
                                      const std::vector<PlanVictim>& victims,
                                      const std::vector<bool>& is_stopped, VictimScope scope) {
  std::optional<FoundReclaim> best;
  if (pending.spec.prefers_one_rack || !pending.spec.data_rack.empty()) {
    for (const RackId& rack : RacksFor(pending, capacity)) {
      std::optional<FoundReclaim> found =
          ReclaimAttempt(pending, capacity, victims, is_stopped, scope, &rack).Run();
      if (found.has_value() && (!best.has_value() || found->lost_work < best->lost_work)) {
        best = std::move(found);
      }
    }
  }
  if (!best.has_value()) {
    best = ReclaimAttempt(pending, capacity, victims, is_stopped, scope, nullptr).Run();
  }
  return best;
}

}  // namespace

std::optional<FoundReclaim> FindReclaim(const PendingStep& pending, const PlanCapacity& capacity,
                                        const std::vector<PlanVictim>& victims,
                                        const std::vector<bool>& is_stopped) {
  std::optional<FoundReclaim> found =
      FindAmong(pending, capacity, victims, is_stopped, VictimScope::kLowerPriorities);
  if (!found.has_value() && pending.may_stop_borrowers) {
    found = FindAmong(pending, capacity, victims, is_stopped, VictimScope::kBorrowersToo);
  }
  return found;
}

}  // namespace papayalift
