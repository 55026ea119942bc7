#include "libraries/decisions/victim_choice.h"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <utility>

#include "libraries/decisions/run_lengths.h"

namespace papayalift {

namespace {

/// Pairs are only searched among at most this many candidates.
constexpr std::size_t kMaxCandidatesForPairs = 64;

/// The accelerators of one task; `worker` is a position in the zone.
struct HeldRun {
  std::size_t worker = 0;
  AcceleratorSet accelerators;
};

/// A gang with the positions of its workers, so that each is looked up only once.
struct Candidate {
  const GangView* gang = nullptr;
  std::vector<HeldRun> runs;
};

std::vector<Candidate> CandidatesOf(const std::vector<const GangView*>& gangs,
                                    const CapacityMap& capacity, const ZoneRange& zone) {
  std::vector<Candidate> candidates;
  candidates.reserve(gangs.size());
  for (const GangView* gang : gangs) {
    Candidate& candidate = candidates.emplace_back(Candidate{gang, {}});
    for (const TaskPlacement& task : gang->tasks) {
      const std::optional<std::size_t> position = capacity.PositionOf(task.worker);
      if (position) {
        candidate.runs.push_back({*position - zone.workers.begin, task.accelerators});
      }
    }
  }
  return candidates;
}

/// Counts how many tasks of a shape fit into one zone while gangs are released and allocated again.
class TaskFitCounter {
 public:
  TaskFitCounter(const Shape& shape, const CapacityMap& capacity, const ZoneRange& zone)
      : m_size(shape.accelerators_per_task), m_needed(shape.tasks.value()) {
    for (std::size_t position = zone.workers.begin; position < zone.workers.end; ++position) {
      m_free.push_back(capacity.workers()[position].free);
      m_fitting += TasksThatFit(m_free.back(), m_size);
    }
  }

  bool FitsAll() const { return m_fitting >= m_needed; }

  void Release(const Candidate& candidate) {
    for (const HeldRun& run : candidate.runs) {
      SetFree(run.worker, m_free[run.worker].Union(run.accelerators));
    }
  }

  void Allocate(const Candidate& candidate) {
    for (const HeldRun& run : candidate.runs) {
      SetFree(run.worker, m_free[run.worker].Without(run.accelerators));
    }
  }

 private:
  void SetFree(std::size_t worker, AcceleratorSet free) {
    m_fitting -= TasksThatFit(m_free[worker], m_size);
    m_free[worker] = free;
    m_fitting += TasksThatFit(m_free[worker], m_size);
  }

  const AcceleratorCount m_size;
  const int m_needed;
  /// By position in the zone.
  std::vector<AcceleratorSet> m_free;
  int m_fitting = 0;
};

VictimChoice MakeChoice(std::vector<const GangView*> victims) {
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

std::optional<VictimChoice> BestSingle(const std::vector<Candidate>& candidates,
                                       TaskFitCounter counter) {
  std::optional<VictimChoice> best;
  for (const Candidate& candidate : candidates) {
    counter.Release(candidate);
    if (counter.FitsAll()) {
      KeepBetter(best, MakeChoice({candidate.gang}));
    }
    counter.Allocate(candidate);
  }
  return best;
}

std::optional<VictimChoice> BestPair(const std::vector<Candidate>& candidates,
                                     TaskFitCounter counter) {
  std::optional<VictimChoice> best;
  for (std::size_t first = 0; first < candidates.size(); ++first) {
    counter.Release(candidates[first]);
    for (std::size_t second = first + 1; second < candidates.size(); ++second) {
      counter.Release(candidates[second]);
      if (counter.FitsAll()) {
        KeepBetter(best, MakeChoice({candidates[first].gang, candidates[second].gang}));
      }
      counter.Allocate(candidates[second]);
    }
    counter.Allocate(candidates[first]);
  }
  return best;
}

/// Starts with all candidates as victims and reprieves one after the other as long as the shape
/// fits: small gangs first, of equally large ones those with the most work to lose.
std::optional<VictimChoice> ChooseByReprieve(std::vector<Candidate> candidates,
                                             TaskFitCounter counter) {
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return std::tuple(left.gang->shape.Total(), -WorkLostBy(*left.gang)) <
                            std::tuple(right.gang->shape.Total(), -WorkLostBy(*right.gang));
                   });
  for (const Candidate& candidate : candidates) {
    counter.Release(candidate);
  }
  if (!counter.FitsAll()) {
    return std::nullopt;
  }
  std::vector<const GangView*> victims;
  for (const Candidate& candidate : candidates) {
    counter.Allocate(candidate);
    if (!counter.FitsAll()) {
      counter.Release(candidate);
      victims.push_back(candidate.gang);
    }
  }
  return MakeChoice(std::move(victims));
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
                                          const std::vector<const GangView*>& gangs,
                                          const CapacityMap& capacity, const ZoneRange& zone) {
  const TaskFitCounter counter(shape, capacity, zone);
  if (counter.FitsAll()) {
    return VictimChoice{};
  }
  const std::vector<Candidate> candidates = CandidatesOf(gangs, capacity, zone);
  std::optional<VictimChoice> single = BestSingle(candidates, counter);
  if (single) {
    return single;
  }
  std::optional<VictimChoice> minimal = ChooseByReprieve(candidates, counter);
  if (!minimal || candidates.size() > kMaxCandidatesForPairs) {
    return minimal;
  }
  std::optional<VictimChoice> pair = BestPair(candidates, counter);
  return pair ? pair : minimal;
}

}  // namespace papayalift
