#include "libraries/planner/placement_search.h"

#include <algorithm>

namespace papayalift {

namespace {

/// Below this a minion is used only where nothing else has room.
constexpr double kSlowSpeed = 0.4;

/// A minion with how many tasks of the unit it can take.
struct Candidate {
  const MinionRoom* room = nullptr;
  std::int64_t fits = 0;
};

std::int64_t FitsOn(const PlanUnit& unit, const MinionRoom& room, RoomMember member) {
  std::int64_t fits =
      unit.spec.needs.TimesIn(room.*member, static_cast<std::int64_t>(unit.indexes.size()));
  if (unit.spec.most_per_worker > 0) {
    const auto present = unit.present.find(room.minion->id);
    const int taken = present == unit.present.end() ? 0 : present->second;
    fits = std::min<std::int64_t>(fits, std::max(0, unit.spec.most_per_worker - taken));
  }
  return fits;
}

/// Sound before slow, not failed before, then the tightest, so that wide holes stay.
bool ComesBefore(const PlanUnit& unit, RoomMember member, const Candidate& left,
                 const Candidate& right) {
  const bool left_avoided =
      left.room->minion->speed < kSlowSpeed || unit.failed_on.contains(left.room->minion->id);
  const bool right_avoided =
      right.room->minion->speed < kSlowSpeed || unit.failed_on.contains(right.room->minion->id);
  if (left_avoided != right_avoided) {
    return right_avoided;
  }
  if (unit.is_guaranteed) {
    const std::int64_t left_hole = left.room->without_victims.accelerators;
    const std::int64_t right_hole = right.room->without_victims.accelerators;
    if (left_hole != right_hole) {
      return left_hole < right_hole;
    }
  }
  const std::int64_t left_free = (left.room->*member).accelerators;
  const std::int64_t right_free = (right.room->*member).accelerators;
  if (left_free != right_free) {
    return left_free < right_free;
  }
  if (left.room->minion->speed != right.room->minion->speed) {
    return left.room->minion->speed > right.room->minion->speed;
  }
  return left.room->minion->id < right.room->minion->id;
}

void AddCandidate(const PlanUnit& unit, const MinionRoom& minion, RoomMember member,
                  std::vector<Candidate>& candidates) {
  // The room first: it is the cheaper question, and more often the answer is no.
  const std::int64_t fits = FitsOn(unit, minion, member);
  if (fits > 0 && IsEligible(unit, *minion.minion)) {
    candidates.push_back(Candidate{&minion, fits});
  }
}

/// On one rack, or on all.
std::vector<Candidate> CandidatesOn(const PlanUnit& unit, const PlanRoom& room, RoomMember member,
                                    const RackId* rack) {
  std::vector<Candidate> candidates;
  if (rack != nullptr) {
    for (const std::size_t place : room.OnRack(*rack)) {
      AddCandidate(unit, room.minions()[place], member, candidates);
    }
  } else {
    for (const MinionRoom& minion : room.minions()) {
      AddCandidate(unit, minion, member, candidates);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [&unit, member](const Candidate& left, const Candidate& right) {
              return ComesBefore(unit, member, left, right);
            });
  return candidates;
}

std::int64_t SumOfFits(const std::vector<Candidate>& candidates) {
  std::int64_t sum = 0;
  for (const Candidate& candidate : candidates) {
    sum += candidate.fits;
  }
  return sum;
}

std::vector<PlanTaskPlace> Fill(const PlanUnit& unit, const std::vector<Candidate>& candidates) {
  std::vector<PlanTaskPlace> places;
  auto index = unit.indexes.begin();
  for (const Candidate& candidate : candidates) {
    for (std::int64_t count = 0; count < candidate.fits && index != unit.indexes.end(); ++count) {
      places.push_back(PlanTaskPlace{*index++, candidate.room->minion->id});
    }
  }
  return places;
}

/// A gang on one rack: the rack that keeps the least room afterwards.
std::optional<FoundPlaces> FindGangOnOneRack(const PlanUnit& unit, const PlanRoom& room,
                                             RoomMember member) {
  const std::int64_t count = static_cast<std::int64_t>(unit.indexes.size());
  std::optional<std::vector<Candidate>> best;
  std::int64_t best_sum = 0;
  for (const RackId& rack : RacksFor(unit, room)) {
    std::vector<Candidate> candidates = CandidatesOn(unit, room, member, &rack);
    const std::int64_t sum = SumOfFits(candidates);
    if (sum >= count && (!best.has_value() || sum < best_sum)) {
      best_sum = sum;
      best = std::move(candidates);
    }
  }
  if (!best.has_value()) {
    return std::nullopt;
  }
  return FoundPlaces{Fill(unit, *best), true};
}

bool WantsRack(const PlanUnit& unit) {
  return unit.spec.wants_one_rack || !unit.spec.data_rack.empty();
}

/// What one rack holds of the unit while nothing else runs there.
std::int64_t RackCapacity(const PlanUnit& unit, const PlanRoom& room, const RackId& rack) {
  std::int64_t sum = 0;
  for (const std::size_t place : room.OnRack(rack)) {
    const PlanMinion& minion = *room.minions()[place].minion;
    if (IsEligible(unit, minion)) {
      sum +=
          unit.spec.needs.TimesIn(minion.capacity, static_cast<std::int64_t>(unit.indexes.size()));
    }
  }
  return sum;
}

}  // namespace

bool IsEligible(const PlanUnit& unit, const PlanMinion& minion) {
  if (minion.service != unit.service) {
    return false;
  }
  return unit.spec.required_label.empty() ||
         std::find(minion.labels.begin(), minion.labels.end(), unit.spec.required_label) !=
             minion.labels.end();
}

std::vector<RackId> RacksFor(const PlanUnit& unit, const PlanRoom& room) {
  if (!unit.spec.data_rack.empty()) {
    return {unit.spec.data_rack};
  }
  std::vector<RackId> racks;
  for (const auto& [rack, places] : room.racks()) {
    racks.push_back(rack);
  }
  return racks;
}

bool ShouldWaitForRack(const PlanUnit& unit, const PlanRoom& room) {
  if (!WantsRack(unit) || unit.waited >= unit.rack_patience) {
    return false;
  }
  const std::int64_t wanted =
      unit.spec.kind == WorkStepKind::kGang ? static_cast<std::int64_t>(unit.indexes.size()) : 1;
  const std::vector<RackId> racks = RacksFor(unit, room);
  return std::any_of(racks.begin(), racks.end(), [&unit, &room, wanted](const RackId& rack) {
    return RackCapacity(unit, room, rack) >= wanted;
  });
}

std::optional<FoundPlaces> FindGang(const PlanUnit& unit, const PlanRoom& room, RoomMember member) {
  if (WantsRack(unit)) {
    if (std::optional<FoundPlaces> near = FindGangOnOneRack(unit, room, member)) {
      return near;
    }
    if (ShouldWaitForRack(unit, room)) {
      return std::nullopt;
    }
  }
  const std::vector<Candidate> candidates = CandidatesOn(unit, room, member, nullptr);
  if (SumOfFits(candidates) < static_cast<std::int64_t>(unit.indexes.size())) {
    return std::nullopt;
  }
  return FoundPlaces{Fill(unit, candidates), !WantsRack(unit)};
}

FoundPlaces FindSingles(const PlanUnit& unit, const PlanRoom& room, RoomMember member) {
  if (unit.spec.data_rack.empty()) {
    return FoundPlaces{Fill(unit, CandidatesOn(unit, room, member, nullptr)), true};
  }
  FoundPlaces near{Fill(unit, CandidatesOn(unit, room, member, &unit.spec.data_rack)), true};
  if (!near.places.empty() || ShouldWaitForRack(unit, room)) {
    return near;
  }
  return FoundPlaces{Fill(unit, CandidatesOn(unit, room, member, nullptr)), false};
}

}  // namespace papayalift
