#include "libraries/lab/guarantee_meter.h"

#include "libraries/decisions/guaranteed_shape.h"

namespace papayalift {

namespace {

double Seconds(Milliseconds time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

GuaranteeMeter::GuaranteeMeter(const LabState& state, const TimeWindows& zone_changes)
    : m_state(state), m_timing(state.scenario.timing), m_zone_changes(zone_changes) {
  const std::vector<WorkspacePlan>& workspaces = state.scenario.workspaces;
  for (std::size_t position = 0; position < workspaces.size(); ++position) {
    for (const Guarantee& guarantee : workspaces[position].spec.guarantees) {
      m_guaranteed[{position, guarantee.shape}] += guarantee.count;
    }
  }
  m_guaranteed_shapes.reserve(state.jobs.size());
  for (std::size_t index = 0; index < state.jobs.size(); ++index) {
    m_guaranteed_shapes.push_back(GuaranteedShapeFor(state.jobs[index].spec.shape,
                                                     workspaces[state.runs[index].workspace].spec));
  }
}

void GuaranteeMeter::Observe() {
  FreeShapes free = m_guaranteed;
  for (const std::size_t index : m_state.holding) {
    AllocateShape(index, free);
  }
  OpenClaims open;
  AllocateToWaiting(Urgency::kUrgent, free, open);
  AllocateToWaiting(Urgency::kNormal, free, open);
  RecordQuotaLimits(open);
  for (const auto& [index, claim] : m_open) {
    const JobRun& run = m_state.runs[index];
    if (run.state != RunState::kHolding) {
      continue;
    }
    if (run.phase == PlacementPhase::kCommitted) {
      Close(index, claim);
    } else if (run.phase == PlacementPhase::kReserved) {
      open[index] = claim;
    }
  }
  m_open = std::move(open);
}

void GuaranteeMeter::Finish() {
  for (const auto& [index, claim] : m_open) {
    Close(index, claim);
  }
  m_open.clear();
}

bool GuaranteeMeter::AllocateShape(std::size_t index, FreeShapes& free) const {
  const std::optional<Shape>& shape = m_guaranteed_shapes[index];
  if (!shape) {
    return false;
  }
  int& left = free[{m_state.runs[index].workspace, *shape}];
  if (left == 0) {
    return false;
  }
  --left;
  return true;
}

void GuaranteeMeter::AllocateToWaiting(Urgency urgency, FreeShapes& free, OpenClaims& open) const {
  for (const std::size_t index : m_state.waiting) {
    if (m_state.jobs[index].spec.urgency == urgency && AllocateShape(index, free)) {
      const auto known = m_open.find(index);
      open[index] = known == m_open.end() ? OpenClaim{m_state.now} : known->second;
    }
  }
}

std::vector<AcceleratorCount> GuaranteeMeter::HeldByWorkspace() const {
  std::vector<AcceleratorCount> held(m_state.scenario.workspaces.size());
  for (const std::size_t index : m_state.holding) {
    held[m_state.runs[index].workspace] += m_state.jobs[index].spec.shape.Total();
  }
  return held;
}

void GuaranteeMeter::RecordQuotaLimits(OpenClaims& open) const {
  if (open.empty()) {
    return;
  }
  const std::vector<AcceleratorCount> held = HeldByWorkspace();
  for (auto& [index, claim] : open) {
    const std::size_t workspace = m_state.runs[index].workspace;
    const AcceleratorCount wanted = held[workspace] + m_state.jobs[index].spec.shape.Total();
    claim.limited_by_quota |= wanted > m_state.scenario.workspaces[workspace].spec.quota;
  }
}

void GuaranteeMeter::Close(std::size_t index, const OpenClaim& claim) {
  const bool urgent = m_state.jobs[index].spec.urgency == Urgency::kUrgent;
  const Milliseconds limit = urgent ? m_timing.urgent_claim_limit : m_timing.claim_limit;
  const Milliseconds took = m_state.now - claim.since;
  Tally& tally = urgent ? m_urgent : m_normal;
  tally.seconds.push_back(Seconds(took));
  if (took > limit) {
    ++tally.missed;
    const bool in_change = m_zone_changes.Overlap(claim.since, m_state.now) > Milliseconds(0);
    tally.missed_in_zone_changes += in_change ? 1 : 0;
    tally.missed_at_own_quota += claim.limited_by_quota ? 1 : 0;
  }
}

ClaimReport GuaranteeMeter::ReportOf(const Tally& tally) {
  return ClaimReport{Summarize(tally.seconds), tally.missed, tally.missed_in_zone_changes,
                     tally.missed_at_own_quota};
}

}  // namespace papayalift
