#include "libraries/decisions/reclaim.h"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <utility>

#include "libraries/decisions/run_lengths.h"

namespace papayalift {

namespace {

/// Pairs are tried one by one up to so many candidates.
constexpr std::size_t kMostCandidatesForPairs = 64;

/// Counts in one zone how many tasks of a shape fit, while gangs are released and held again.
class TaskRoom {
 public:
  TaskRoom(const Shape& shape, const CapacityMap& capacity, const ZoneRange& zone)
      : m_size(shape.accelerators_per_task), m_needed(shape.tasks.value()), m_capacity(capacity) {
    for (std::size_t at = zone.workers.begin; at < zone.workers.end; ++at) {
      m_room += TasksThatFit(capacity.workers()[at].free, m_size);
    }
  }

  bool Suffices() const { return m_room >= m_needed; }

  void Release(const GangView& gang) { Change(gang, &CapacityMap::Release); }
  void Hold(const GangView& gang) { Change(gang, &CapacityMap::Hold); }

 private:
  using Step = void (CapacityMap::*)(const std::vector<TaskPlacement>&);

  void Change(const GangView& gang, Step step) {
    for (const TaskPlacement& task : gang.tasks) {
      m_room -= RoomOn(task.worker);
      (m_capacity.*step)({task});
      m_room += RoomOn(task.worker);
    }
  }

  int RoomOn(const WorkerId& worker) const {
    const WorkerCapacity* const found = m_capacity.Find(worker);
    return found == nullptr ? 0 : TasksThatFit(found->free, m_size);
  }

  const AcceleratorCount m_size;
  const int m_needed;
  CapacityMap m_capacity;
  int m_room = 0;
};

VictimChoice ChoiceOf(std::vector<const GangView*> victims) {
  VictimChoice choice;
  for (const GangView* victim : victims) {
    choice.work_lost += WorkLostBy(*victim);
  }
  choice.victims = std::move(victims);
  return choice;
}

void KeepBetter(std::optional<VictimChoice>& best, VictimChoice choice) {
  if (!best || IsBetter(choice, *best)) {
    best = std::move(choice);
  }
}

std::optional<VictimChoice> BestSingle(const std::vector<const GangView*>& candidates,
                                       TaskRoom room) {
  std::optional<VictimChoice> best;
  for (const GangView* gang : candidates) {
    room.Release(*gang);
    if (room.Suffices()) {
      KeepBetter(best, ChoiceOf({gang}));
    }
    room.Hold(*gang);
  }
  return best;
}

std::optional<VictimChoice> BestPair(const std::vector<const GangView*>& candidates,
                                     TaskRoom room) {
  std::optional<VictimChoice> best;
  for (std::size_t first = 0; first < candidates.size(); ++first) {
    room.Release(*candidates[first]);
    for (std::size_t second = first + 1; second < candidates.size(); ++second) {
      room.Release(*candidates[second]);
      if (room.Suffices()) {
        KeepBetter(best, ChoiceOf({candidates[first], candidates[second]}));
      }
      room.Hold(*candidates[second]);
    }
    room.Hold(*candidates[first]);
  }
  return best;
}

/// Releases all and takes back one gang after the other, small ones and dear ones first, as long as
/// the room suffices.
std::optional<VictimChoice> ByTakingBack(std::vector<const GangView*> candidates, TaskRoom room) {
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const GangView* left, const GangView* right) {
                     return std::tuple(left->shape.Total(), -WorkLostBy(*left)) <
                            std::tuple(right->shape.Total(), -WorkLostBy(*right));
                   });
  for (const GangView* gang : candidates) {
    room.Release(*gang);
  }
  if (!room.Suffices()) {
    return std::nullopt;
  }
  std::vector<const GangView*> victims;
  for (const GangView* gang : candidates) {
    room.Hold(*gang);
    if (!room.Suffices()) {
      room.Release(*gang);
      victims.push_back(gang);
    }
  }
  return ChoiceOf(std::move(victims));
}

}  // namespace

bool IsBetter(const VictimChoice& left, const VictimChoice& right) {
  return std::tuple(left.victims.size(), left.work_lost) <
         std::tuple(right.victims.size(), right.work_lost);
}

std::int64_t WorkLostBy(const GangView& gang) {
  return gang.since_checkpoint.count() * gang.shape.Total().value();
}

std::optional<VictimChoice> ChooseVictims(const Shape& shape,
                                          const std::vector<const GangView*>& candidates,
                                          const CapacityMap& capacity, const ZoneRange& zone) {
  const TaskRoom room(shape, capacity, zone);
  if (room.Suffices()) {
    return VictimChoice{};
  }
  std::optional<VictimChoice> single = BestSingle(candidates, room);
  if (single) {
    return single;
  }
  const std::optional<VictimChoice> many = ByTakingBack(candidates, room);
  if (!many || candidates.size() > kMostCandidatesForPairs) {
    return many;
  }
  std::optional<VictimChoice> pair = BestPair(candidates, room);
  return pair ? pair : many;
}

}  // namespace papayalift
