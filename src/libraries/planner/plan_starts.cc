#include "libraries/planner/plan_starts.h"

#include <algorithm>
#include <utility>

#include "libraries/planner/placement_search.h"
#include "libraries/planner/plan_room.h"
#include "libraries/planner/reclaim_search.h"

namespace papayalift {

namespace {

/// Guarantees first, then by priority; what can still be on time before what can't, most urgent
/// first.
bool ComesBefore(const PlanUnit& left, const PlanUnit& right) {
  if (left.is_guaranteed != right.is_guaranteed) {
    return left.is_guaranteed;
  }
  if (left.priority != right.priority) {
    return left.priority < right.priority;
  }
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

class Pass {
 public:
  explicit Pass(const PlanSnapshot& snapshot)
      : m_snapshot(snapshot), m_room(snapshot), m_is_stopped(snapshot.victims.size(), false) {}

  Plan Run() {
    std::vector<const PlanUnit*> order;
    for (const PlanUnit& unit : m_snapshot.units) {
      order.push_back(&unit);
    }
    std::sort(order.begin(), order.end(), [](const PlanUnit* left, const PlanUnit* right) {
      return ComesBefore(*left, *right);
    });
    for (const PlanUnit* const unit : order) {
      if (unit->spec.kind == WorkStepKind::kGang) {
        PlanWhole(*unit);
      } else {
        PlanSingles(*unit);
      }
    }
    return std::move(m_plan);
  }

 private:
  void PlanWhole(const PlanUnit& unit) {
    const std::int64_t wanted =
        unit.spec.needs.accelerators * static_cast<std::int64_t>(unit.indexes.size());
    const std::optional<FoundPlaces> now = wanted > m_room.free_accelerators()
                                               ? std::nullopt
                                               : FindGang(unit, m_room, &MinionRoom::free);
    if (now.has_value() && (now->is_near || !unit.is_guaranteed)) {
      Start(unit, *now);
    } else if (unit.is_guaranteed) {
      PlanGuaranteed(unit);
    }
  }

  void PlanSingles(const PlanUnit& unit) {
    const FoundPlaces now = FindSingles(unit, m_room, &MinionRoom::free);
    if (!now.places.empty()) {
      Start(unit, now);
    }
    if (unit.is_guaranteed && now.places.size() < unit.indexes.size()) {
      PlanUnit rest = unit;
      rest.indexes.erase(rest.indexes.begin(),
                         rest.indexes.begin() + static_cast<std::ptrdiff_t>(now.places.size()));
      for (const PlanTaskPlace& place : now.places) {
        ++rest.present[place.minion];
      }
      PlanGuaranteed(rest);
    }
  }

  /// There is no room yet: waits for what is being stopped, or has more stopped.
  void PlanGuaranteed(const PlanUnit& unit) {
    const std::optional<FoundReclaim> found =
        FindReclaim(unit, m_room, m_snapshot.victims, m_is_stopped);
    if (!found.has_value()) {
      return;
    }
    if (found->victims.empty() && FitNow(unit, found->places)) {
      Start(unit, FoundPlaces{found->places, true});
      return;
    }
    for (const std::size_t index : found->victims) {
      StopVictim(index, unit.job);
    }
    for (const PlanTaskPlace& place : found->places) {
      m_room.Reserve(place.minion, unit.spec.needs);
    }
  }

  /// The search looks at the room there will be; what it found may be there at once.
  bool FitNow(const PlanUnit& unit, const std::vector<PlanTaskPlace>& places) {
    std::map<MinionId, std::int64_t> counts;
    for (const PlanTaskPlace& place : places) {
      ++counts[place.minion];
    }
    return std::all_of(counts.begin(), counts.end(), [this, &unit](const auto& entry) {
      return (unit.spec.needs * entry.second).Fits(m_room.Find(entry.first)->free);
    });
  }

  void StopVictim(std::size_t index, const JobId& beneficiary) {
    const PlanVictim& victim = m_snapshot.victims[index];
    m_is_stopped[index] = true;
    for (const PlanTaskPlace& place : victim.places) {
      m_room.AddSoon(place.minion, victim.needs_each);
    }
    m_plan.stops.push_back(PlannedStop{victim.job, victim.step, victim.places, beneficiary});
  }

  void Start(const PlanUnit& unit, const FoundPlaces& found) {
    for (const PlanTaskPlace& place : found.places) {
      m_room.Take(place.minion, unit.spec.needs);
    }
    m_plan.starts.push_back(
        PlannedStart{unit.job, unit.step, found.places,
                     found.is_near ? "room where it is fast" : "no room on its rack in time"});
  }

  const PlanSnapshot& m_snapshot;
  PlanRoom m_room;
  std::vector<bool> m_is_stopped;
  Plan m_plan;
};

}  // namespace

Plan PlanStarts(const PlanSnapshot& snapshot) { return Pass(snapshot).Run(); }

}  // namespace papayalift
