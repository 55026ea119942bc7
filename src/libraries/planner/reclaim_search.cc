#include "libraries/planner/reclaim_search.h"

#include <algorithm>
#include <map>

#include "libraries/planner/placement_search.h"

namespace papayalift {

namespace {

enum class VictimChoice { kLowerPriorities, kBorrowersToo };

/// One attempt to place all tasks on the minions of one rack, or on all.
class ReclaimAttempt {
 public:
  ReclaimAttempt(const PlanUnit& unit, const PlanRoom& room, const std::vector<PlanVictim>& victims,
                 const std::vector<bool>& is_stopped, VictimChoice choice, const RackId* rack)
      : m_unit(unit), m_victims(victims), m_is_stopped(is_stopped), m_choice(choice) {
    for (const MinionRoom& minion : room.minions()) {
      if (IsEligible(unit, *minion.minion) && (rack == nullptr || minion.minion->rack == *rack)) {
        m_sites[minion.minion->id] = Site{minion.soon, SlotsOn(minion), {}};
      }
    }
    for (std::size_t index = 0; index < victims.size(); ++index) {
      NoteVictim(index);
    }
  }

  std::optional<FoundReclaim> Run() {
    for (const int index : m_unit.indexes) {
      if (!PlaceOne(index)) {
        return std::nullopt;
      }
    }
    return m_found;
  }

 private:
  struct Site {
    Resources room;
    int slots = 0;
    /// Indexes of victims that have tasks here.
    std::vector<std::size_t> victims;
  };

  /// What it takes to fit one task on one site.
  struct Offer {
    std::vector<std::size_t> victims;
    double lost_work = 0;
    std::int64_t leftover = 0;
  };

  int SlotsOn(const MinionRoom& minion) const {
    if (m_unit.spec.most_per_worker == 0) {
      return static_cast<int>(m_unit.indexes.size());
    }
    const auto present = m_unit.present.find(minion.minion->id);
    return m_unit.spec.most_per_worker - (present == m_unit.present.end() ? 0 : present->second);
  }

  void NoteVictim(std::size_t index) {
    const PlanVictim& victim = m_victims[index];
    const bool may_stop = victim.priority > m_unit.priority ||
                          (victim.is_borrower && m_choice == VictimChoice::kBorrowersToo);
    if (m_is_stopped[index] || !may_stop) {
      return;
    }
    for (const PlanTaskPlace& place : victim.places) {
      const auto site = m_sites.find(place.minion);
      if (site != m_sites.end() &&
          (site->second.victims.empty() || site->second.victims.back() != index)) {
        site->second.victims.push_back(index);
      }
    }
  }

  Resources FreedOn(const MinionId& minion, std::size_t index) const {
    const PlanVictim& victim = m_victims[index];
    const std::int64_t count =
        std::count_if(victim.places.begin(), victim.places.end(),
                      [&minion](const PlanTaskPlace& place) { return place.minion == minion; });
    return victim.needs_each * count;
  }

  bool IsChosen(std::size_t index) const {
    return std::find(m_found.victims.begin(), m_found.victims.end(), index) !=
           m_found.victims.end();
  }

  std::optional<Offer> OfferOn(const MinionId& id, const Site& site) const {
    if (site.slots <= 0) {
      return std::nullopt;
    }
    Offer offer;
    Resources room = site.room;
    std::vector<std::size_t> cheapest;
    for (const std::size_t index : site.victims) {
      if (!IsChosen(index)) {
        cheapest.push_back(index);
      }
    }
    std::sort(cheapest.begin(), cheapest.end(), [this](std::size_t left, std::size_t right) {
      return m_victims[left].unsaved_work < m_victims[right].unsaved_work;
    });
    for (const std::size_t index : cheapest) {
      if (m_unit.spec.needs.Fits(room)) {
        break;
      }
      room += FreedOn(id, index);
      offer.victims.push_back(index);
      offer.lost_work += m_victims[index].unsaved_work;
    }
    if (!m_unit.spec.needs.Fits(room)) {
      return std::nullopt;
    }
    offer.leftover = (room - m_unit.spec.needs).accelerators;
    return offer;
  }

  bool PlaceOne(int index) {
    const MinionId* best_site = nullptr;
    Offer best;
    for (const auto& [id, site] : m_sites) {
      const std::optional<Offer> offer = OfferOn(id, site);
      if (offer.has_value() &&
          (best_site == nullptr || offer->lost_work < best.lost_work ||
           (offer->lost_work == best.lost_work && offer->leftover < best.leftover))) {
        best_site = &id;
        best = *offer;
      }
    }
    if (best_site == nullptr) {
      return false;
    }
    Accept(index, *best_site, best);
    return true;
  }

  void Accept(int index, const MinionId& minion, const Offer& offer) {
    for (const std::size_t victim : offer.victims) {
      m_found.victims.push_back(victim);
      for (const PlanTaskPlace& place : m_victims[victim].places) {
        if (const auto site = m_sites.find(place.minion); site != m_sites.end()) {
          site->second.room += m_victims[victim].needs_each;
        }
      }
    }
    m_found.lost_work += offer.lost_work;
    m_found.places.push_back(PlanTaskPlace{index, minion});
    Site& site = m_sites.at(minion);
    site.room -= m_unit.spec.needs;
    --site.slots;
  }

  const PlanUnit& m_unit;
  const std::vector<PlanVictim>& m_victims;
  const std::vector<bool>& m_is_stopped;
  const VictimChoice m_choice;
  std::map<MinionId, Site> m_sites;
  FoundReclaim m_found;
};

std::optional<FoundReclaim> FindAmong(const PlanUnit& unit, const PlanRoom& room,
                                      const std::vector<PlanVictim>& victims,
                                      const std::vector<bool>& is_stopped, VictimChoice choice) {
  std::optional<FoundReclaim> best;
  if (unit.spec.wants_one_rack || !unit.spec.data_rack.empty()) {
    for (const RackId& rack : RacksFor(unit, room)) {
      std::optional<FoundReclaim> found =
          ReclaimAttempt(unit, room, victims, is_stopped, choice, &rack).Run();
      if (found.has_value() && (!best.has_value() || found->lost_work < best->lost_work)) {
        best = std::move(found);
      }
    }
  }
  if (!best.has_value()) {
    best = ReclaimAttempt(unit, room, victims, is_stopped, choice, nullptr).Run();
  }
  return best;
}

}  // namespace

std::optional<FoundReclaim> FindReclaim(const PlanUnit& unit, const PlanRoom& room,
                                        const std::vector<PlanVictim>& victims,
                                        const std::vector<bool>& is_stopped) {
  std::optional<FoundReclaim> found =
      FindAmong(unit, room, victims, is_stopped, VictimChoice::kLowerPriorities);
  if (!found.has_value() && unit.may_stop_borrowers) {
    found = FindAmong(unit, room, victims, is_stopped, VictimChoice::kBorrowersToo);
  }
  return found;
}

}  // namespace papayalift
