#include "libraries/lab/guarantee_meter.h"

#include <algorithm>

namespace papayalift {

namespace {

bool FitsInto(const Shape& shape, const Shape& guaranteed) {
  return shape.tasks <= guaranteed.tasks &&
         shape.accelerators_per_task <= guaranteed.accelerators_per_task;
}

/// Takes the smallest of the free shapes that is large enough.
bool TakeShape(const Shape& shape, std::vector<Shape>& free) {
  const auto found = std::find_if(free.begin(), free.end(), [&shape](const Shape& guaranteed) {
    return FitsInto(shape, guaranteed);
  });
  if (found == free.end()) {
    return false;
  }
  free.erase(found);
  return true;
}

double Seconds(Milliseconds time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

GuaranteeMeter::GuaranteeMeter(const Scenario& scenario, const TimeWindows& zone_changes)
    : m_timing(scenario.timing), m_zone_changes(zone_changes) {
  for (const WorkspacePlan& plan : scenario.workspaces) {
    std::vector<Shape> shapes;
    for (const Guarantee& guarantee : plan.spec.guarantees) {
      shapes.insert(shapes.end(), static_cast<std::size_t>(guarantee.count), guarantee.shape);
    }
    std::stable_sort(shapes.begin(), shapes.end(), [](const Shape& left, const Shape& right) {
      return left.Total() < right.Total();
    });
    m_shapes.push_back(std::move(shapes));
  }
}

void GuaranteeMeter::Observe(const LabState& state) {
  FreeShapes free = m_shapes;
  TakeByHolders(state, free);
  std::map<std::size_t, Milliseconds> open;
  TakeByWaiting(state, Urgency::kUrgent, free, open);
  TakeByWaiting(state, Urgency::kNormal, free, open);
  for (const auto& [index, since] : m_open) {
    const JobRun& run = state.runs[index];
    if (run.state != RunState::kHolding) {
      continue;
    }
    if (run.phase == PlacementPhase::kCommitted) {
      Close(state, index, since);
    } else if (run.phase == PlacementPhase::kReserved) {
      open[index] = since;
    }
  }
  m_open = std::move(open);
}

void GuaranteeMeter::Finish(const LabState& state) {
  for (const auto& [index, since] : m_open) {
    Close(state, index, since);
  }
  m_open.clear();
}

void GuaranteeMeter::TakeByHolders(const LabState& state, FreeShapes& free) const {
  for (const std::size_t index : state.holding) {
    const JobRun& run = state.runs[index];
    if (run.phase != PlacementPhase::kStopping) {
      TakeShape(state.jobs[index].spec.shape, free[run.workspace]);
    }
  }
}

void GuaranteeMeter::TakeByWaiting(const LabState& state, Urgency urgency, FreeShapes& free,
                                   std::map<std::size_t, Milliseconds>& open) const {
  for (const std::size_t index : state.waiting) {
    const JobSpec& spec = state.jobs[index].spec;
    std::vector<Shape>& shapes = free[state.runs[index].workspace];
    if (spec.urgency != urgency || shapes.empty() || !TakeShape(spec.shape, shapes)) {
      continue;
    }
    const auto known = m_open.find(index);
    open[index] = known == m_open.end() ? state.now : known->second;
  }
}

void GuaranteeMeter::Close(const LabState& state, std::size_t index, Milliseconds since) {
  const bool urgent = state.jobs[index].spec.urgency == Urgency::kUrgent;
  const Milliseconds limit = urgent ? m_timing.urgent_claim_limit : m_timing.claim_limit;
  const Milliseconds took = state.now - since;
  Tally& tally = urgent ? m_urgent : m_normal;
  tally.seconds.push_back(Seconds(took));
  if (took > limit) {
    ++tally.missed;
    const bool in_change = m_zone_changes.Overlap(since, state.now) > Milliseconds(0);
    tally.missed_in_zone_changes += in_change ? 1 : 0;
  }
}

ClaimReport GuaranteeMeter::ReportOf(const Tally& tally) {
  return ClaimReport{Summarize(tally.seconds), tally.missed, tally.missed_in_zone_changes};
}

}  // namespace papayalift
