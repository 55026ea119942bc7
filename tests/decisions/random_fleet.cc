#include "decisions/random_fleet.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>

#include "libraries/decisions/guarantee_check.h"
#include "libraries/decisions/guarantee_tracker.h"

namespace papayalift {

namespace {

constexpr int kWorkspaces = 3;
const WorkspaceId kBorrowingWorkspace("borrower");

/// Draws a number from `low` to `high`, both included.
int DrawInt(int low, int high) { return *rc::gen::inRange(low, high + 1); }

Shape DrawShape() { return Shape{TaskCount(DrawInt(1, 3)), AcceleratorCount(1 << DrawInt(0, 2))}; }

ZoneId ZoneNamed(int number) { return ZoneId(fmt::format("zone-{}", number)); }

std::string ToString(const std::vector<TaskPlacement>& tasks) {
  std::string text;
  for (const TaskPlacement& task : tasks) {
    text += fmt::format(" {}:{:x}", task.worker.text(), task.accelerators.bits());
  }
  return text;
}

}  // namespace

RandomFleet RandomFleet::Generate() {
  RandomFleet fleet;
  fleet.GenerateWorkers();
  fleet.GenerateWorkspaces();
  return fleet;
}

void RandomFleet::GenerateWorkers() {
  const int zones = DrawInt(1, 3);
  const int workers = DrawInt(zones, 7);
  for (int index = 0; index < workers; ++index) {
    WorkerView worker;
    worker.id = WorkerId(fmt::format("worker-{}", index));
    worker.zone = ZoneNamed(index % zones);
    worker.rack = RackId(fmt::format("rack-{}-{}", index % zones, index / zones / 2));
    worker.accelerators = AcceleratorCount(*rc::gen::element(2, 4, 8));
    m_snapshot.workers.push_back(worker);
  }
}

void RandomFleet::GenerateWorkspaces() {
  constexpr AcceleratorCount kUnlimitedQuota(1'000);
  m_snapshot.workspaces.push_back(WorkspaceSpec{kBorrowingWorkspace, kUnlimitedQuota, {}});
  for (int index = 0; index < kWorkspaces; ++index) {
    WorkspaceSpec& workspace = m_snapshot.workspaces.emplace_back();
    workspace.id = WorkspaceId(fmt::format("workspace-{}", index));
    const int guarantees = DrawInt(0, 3);
    for (int number = 0; number < guarantees; ++number) {
      workspace.guarantees.push_back(Guarantee{DrawShape(), DrawInt(1, 2)});
      if (!AreGuaranteesReclaimable()) {
        workspace.guarantees.pop_back();
      }
    }
    workspace.quota = AcceleratorCount(DrawInt(0, 4));
    for (const Guarantee& guarantee : workspace.guarantees) {
      workspace.quota += AcceleratorCount(guarantee.count * guarantee.shape.Total().value());
    }
  }
}

FleetEvent RandomFleet::ApplyRandomEvent() {
  static constexpr std::array<FleetEvent, 8> kEvents{
      FleetEvent::kSubmit,     FleetEvent::kSubmit,     FleetEvent::kSubmit,
      FleetEvent::kFinish,     FleetEvent::kFinish,     FleetEvent::kStopComplete,
      FleetEvent::kZoneChange, FleetEvent::kTimeAdvance};
  const FleetEvent event = kEvents[static_cast<std::size_t>(DrawInt(0, kEvents.size() - 1))];
  switch (event) {
    case FleetEvent::kSubmit:
      SubmitRandomJob();
      break;
    case FleetEvent::kFinish:
      FinishRandomGang();
      break;
    case FleetEvent::kStopComplete:
      CompleteStop();
      break;
    case FleetEvent::kZoneChange:
      ToggleZone();
      break;
    case FleetEvent::kTimeAdvance:
      AdvanceTime();
      break;
  }
  return event;
}

void RandomFleet::SubmitRandomJob() {
  const int index = DrawInt(0, kWorkspaces);
  const Urgency urgency = DrawInt(0, 4) == 0 ? Urgency::kUrgent : Urgency::kNormal;
  AddWaiting(m_snapshot.workspaces[static_cast<std::size_t>(index)].id, DrawShape(), urgency);
}

void RandomFleet::SubmitBorrowingJob(const Shape& shape) {
  AddWaiting(kBorrowingWorkspace, shape, Urgency::kNormal);
}

void RandomFleet::AddWaiting(const WorkspaceId& workspace, const Shape& shape, Urgency urgency) {
  WaitingJob job;
  job.job = JobId(fmt::format("job-{}", m_job_count++));
  job.workspace = workspace;
  job.shape = shape;
  job.urgency = urgency;
  job.declared_run_time = std::chrono::minutes(5);
  m_snapshot.waiting.push_back(job);
}

void RandomFleet::FinishRandomGang() {
  if (!m_snapshot.gangs.empty()) {
    const int last = static_cast<int>(m_snapshot.gangs.size()) - 1;
    m_snapshot.gangs.erase(m_snapshot.gangs.begin() + DrawInt(0, last));
  }
}

bool RandomFleet::CompleteStop() {
  const auto gang = std::find_if(
      m_snapshot.gangs.begin(), m_snapshot.gangs.end(),
      [](const GangView& candidate) { return candidate.phase == PlacementPhase::kStopping; });
  if (gang == m_snapshot.gangs.end()) {
    return false;
  }
  WaitingJob job;
  job.job = gang->job;
  job.workspace = gang->workspace;
  job.shape = gang->shape;
  job.attained_time = gang->attained_time;
  m_snapshot.waiting.push_back(job);
  m_snapshot.gangs.erase(gang);
  return true;
}

void RandomFleet::ToggleZone() {
  const ZoneId zone = m_snapshot
                          .workers[static_cast<std::size_t>(
                              DrawInt(0, static_cast<int>(m_snapshot.workers.size()) - 1))]
                          .zone;
  const bool was_in = m_snapshot.zones.StateOf(zone) == ZoneState::kIn;
  m_snapshot.zones.states[zone] = was_in ? ZoneState::kOut : ZoneState::kIn;
  m_snapshot.time_since_zone_change[zone] = Milliseconds{0};
}

void RandomFleet::AdvanceTime() {
  const Milliseconds passed = std::chrono::minutes(DrawInt(1, 200));
  for (GangView& gang : m_snapshot.gangs) {
    gang.running_for += passed;
    gang.attained_time += passed;
    gang.since_checkpoint = (gang.since_checkpoint + passed) % std::chrono::minutes(15);
  }
  for (WaitingJob& job : m_snapshot.waiting) {
    job.waiting_for += passed;
  }
  for (auto& [zone, unchanged] : m_snapshot.time_since_zone_change) {
    unchanged += passed;
  }
}

void RandomFleet::ApplyDecision(const Decision& decision) {
  for (const StopDecision& stop : decision.stops) {
    for (GangView& gang : m_snapshot.gangs) {
      gang.phase = gang.job == stop.job ? PlacementPhase::kStopping : gang.phase;
    }
  }
  for (const StartDecision& start : decision.starts) {
    const auto job =
        std::find_if(m_snapshot.waiting.begin(), m_snapshot.waiting.end(),
                     [&start](const WaitingJob& candidate) { return candidate.job == start.job; });
    GangView gang;
    gang.job = job->job;
    gang.workspace = job->workspace;
    gang.shape = job->shape;
    gang.urgency = job->urgency;
    gang.zone = start.zone;
    gang.claim = start.claim;
    gang.tasks = start.tasks;
    gang.declared_run_time = job->declared_run_time;
    m_snapshot.gangs.push_back(gang);
    m_snapshot.waiting.erase(job);
  }
}

bool RandomFleet::AreGuaranteesReclaimable() const {
  const GuaranteeTracker tracker(m_snapshot, CapacityMap::WithoutGangs(m_snapshot));
  return FindPacking(tracker.unused(), tracker.reclaimable()).has_value();
}

const GangView* RandomFleet::FindGang(const JobId& job) const {
  const auto gang =
      std::find_if(m_snapshot.gangs.begin(), m_snapshot.gangs.end(),
                   [&job](const GangView& candidate) { return candidate.job == job; });
  return gang == m_snapshot.gangs.end() ? nullptr : &*gang;
}

bool RandomFleet::IsPlaced(const JobId& job) const { return FindGang(job) != nullptr; }

std::string ToString(const Decision& decision) {
  std::string text;
  for (const StartDecision& start : decision.starts) {
    text += fmt::format("start {} {} {}{}\n", start.job.text(), start.zone.text(),
                        static_cast<int>(start.claim), ToString(start.tasks));
  }
  for (const StopDecision& stop : decision.stops) {
    text += fmt::format("stop {} {}\n", stop.job.text(), stop.reason);
  }
  for (const WaitDecision& wait : decision.waits) {
    text += fmt::format("wait {} {}\n", wait.job.text(), wait.reason);
  }
  return text;
}

}  // namespace papayalift
