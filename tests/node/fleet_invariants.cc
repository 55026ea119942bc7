#include "node/fleet_invariants.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"

namespace papayalift {

namespace {

/// A start can be late by the age of the zone view plus the reservation; see docs/design/gangs.md.
constexpr Milliseconds kZoneOutLimit = kViewLimit + kReservationLease;

std::vector<JobRecord> AllJobs(MemoryStore& store) {
  std::vector<JobRecord> jobs;
  const RangeAnswer answer = store.Range(KeysWithPrefix(keys::kJobs)).value();
  for (const KeyValue& record : answer.records) {
    jobs.push_back(DecodeJob(record.value).value());
  }
  return jobs;
}

bool IsStored(MemoryStore& store, const JobId& job) {
  return !store.Range(SingleKey(keys::JobKey(job))).value().records.empty();
}

}  // namespace

std::string FleetInvariants::FirstViolation() {
  constexpr std::array<Check, 10> kChecks{
      &FleetInvariants::AcceleratorHeldTwice,   &FleetInvariants::ConcurrentAttempts,
      &FleetInvariants::GangPartialTooLong,     &FleetInvariants::StartInOutZone,
      &FleetInvariants::StartedJobCalledNotRun, &FleetInvariants::NonIdempotentStartedTwice,
      &FleetInvariants::BundleVersionDecreased, &FleetInvariants::AcceptedJobLost,
      &FleetInvariants::SucceededPartially,     &FleetInvariants::CancellationLost};
  for (const Check check : kChecks) {
    std::string broken = (this->*check)();
    if (!broken.empty()) {
      return broken;
    }
  }
  return "";
}

std::string FleetInvariants::FirstViolationAtRest() {
  for (const JobRecord& job : AllJobs(m_fleet.store())) {
    if (!IsFinal(job.state)) {
      return fmt::format("job {} has not ended: {}", job.spec.key.text(), job.reason);
    }
  }
  if (!m_fleet.Placements().empty()) {
    return "a placement is left behind";
  }
  if (!m_fleet.worker_pool().RunningAttempts().empty()) {
    return "a task runs without a job";
  }
  return FirstViolation();
}

std::string FleetInvariants::AcceleratorHeldTwice() {
  std::map<WorkerId, AcceleratorSet> held;
  for (const PlacementRecord& placement : m_fleet.Placements()) {
    for (const TaskPlacement& task : placement.tasks) {
      AcceleratorSet& on_worker = held[task.worker];
      if (on_worker.Overlaps(task.accelerators)) {
        return fmt::format("an accelerator of {} is held twice", task.worker.text());
      }
      on_worker = on_worker.Union(task.accelerators);
    }
  }
  return "";
}

std::string FleetInvariants::ConcurrentAttempts() {
  std::map<JobId, AttemptId> running;
  for (const auto& [attempt, workers] : m_fleet.worker_pool().RunningAttempts()) {
    const JobId job = m_fleet.worker_pool().JobOf(attempt);
    const auto [known, first] = running.emplace(job, attempt);
    if (!first) {
      return fmt::format("attempts {} and {} of one job run at the same time", known->second.text(),
                         attempt.text());
    }
  }
  return "";
}

std::string FleetInvariants::GangPartialTooLong() {
  const Milliseconds now = m_fleet.clock().Now();
  std::map<AttemptId, Milliseconds> partial_since;
  for (const auto& [attempt, workers] : m_fleet.worker_pool().RunningAttempts()) {
    std::set<WorkerId>& whole = m_succeeded[attempt];
    whole.merge(m_fleet.worker_pool().SucceededWorkers(attempt));
    std::set<WorkerId> alive = whole;
    alive.insert(workers.begin(), workers.end());
    if (alive == m_fleet.worker_pool().PreparedWorkers(attempt)) {
      continue;
    }
    const auto known = m_partial_since.find(attempt);
    const Milliseconds since = known == m_partial_since.end() ? now : known->second;
    partial_since[attempt] = since;
    if (now - since > kRunLease) {
      return fmt::format("attempt {} has been partial for {} ms", attempt.text(),
                         (now - since).count());
    }
  }
  m_partial_since = std::move(partial_since);
  return "";
}

std::string FleetInvariants::StartInOutZone() {
  const ZoneTable zones = m_fleet.Zones();
  const Milliseconds now = m_fleet.clock().Now();
  for (const auto& [zone, state] : zones.states) {
    if (state == ZoneState::kOut) {
      m_out_since.emplace(zone, now);
    } else {
      m_out_since.erase(zone);
    }
  }
  const std::vector<StartRecord>& starts = m_fleet.worker_pool().starts();
  for (; m_starts_seen < starts.size(); ++m_starts_seen) {
    const StartRecord& start = starts[m_starts_seen];
    const ZoneId zone(start.worker.text().substr(0, 1));
    const auto out = m_out_since.find(zone);
    if (out != m_out_since.end() && start.at - out->second > kZoneOutLimit) {
      return fmt::format("attempt {} started {} ms after its zone went out", start.attempt.text(),
                         (start.at - out->second).count());
    }
  }
  return "";
}

std::string FleetInvariants::StartedJobCalledNotRun() {
  std::set<JobId> started;
  for (const StartRecord& start : m_fleet.worker_pool().starts()) {
    started.insert(start.job);
  }
  for (const JobRecord& job : AllJobs(m_fleet.store())) {
    if (job.verdict == Verdict::kNotRun && started.contains(job.id)) {
      return fmt::format("job {} ran but has the verdict not run", job.spec.key.text());
    }
  }
  for (const JobId& job : started) {
    if (!IsStored(m_fleet.store(), job)) {
      return "a job ran that was never submitted";
    }
  }
  return "";
}

std::string FleetInvariants::NonIdempotentStartedTwice() {
  std::map<JobId, std::set<AttemptId>> attempts;
  for (const StartRecord& start : m_fleet.worker_pool().starts()) {
    attempts[start.job].insert(start.attempt);
  }
  for (const JobRecord& job : AllJobs(m_fleet.store())) {
    const bool once = job.spec.idempotency == Idempotency::kNonIdempotent;
    if (once && attempts[job.id].size() > 1) {
      return fmt::format("the non-idempotent job {} was started twice", job.spec.key.text());
    }
  }
  return "";
}

std::string FleetInvariants::BundleVersionDecreased() {
  const BundleVersion rolled = m_fleet.RolledVersion();
  if (rolled < m_rolled) {
    return "the version of the bundle in force has decreased";
  }
  m_rolled = rolled;
  for (int index = 0; index < m_fleet.size(); ++index) {
    TestNode& node = m_fleet.node(index);
    const std::shared_ptr<const FleetView> view = node.state().View();
    const bool restarted = view->bundle == nullptr;
    BundleVersion& known = m_in_force[node.id()];
    if (!restarted && view->bundle->version < known) {
      return fmt::format("node {} returned to an older bundle", node.id().text());
    }
    known = restarted ? BundleVersion() : view->bundle->version;
  }
  return "";
}

std::string FleetInvariants::AcceptedJobLost() {
  for (const JobId& job : m_accepted) {
    if (!IsStored(m_fleet.store(), job)) {
      return "an accepted job is lost";
    }
  }
  return "";
}

std::string FleetInvariants::SucceededPartially() {
  std::map<AttemptId, std::set<WorkerId>> started;
  for (const StartRecord& start : m_fleet.worker_pool().starts()) {
    started[start.attempt].insert(start.worker);
  }
  for (const JobRecord& job : AllJobs(m_fleet.store())) {
    const bool whole =
        started[job.attempt_id] == m_fleet.worker_pool().PreparedWorkers(job.attempt_id);
    if (job.state == JobState::kSucceeded && !whole) {
      return fmt::format("job {} succeeded although not all of its tasks ran", job.spec.key.text());
    }
  }
  return "";
}

std::string FleetInvariants::CancellationLost() {
  for (const JobRecord& job : AllJobs(m_fleet.store())) {
    const bool forgotten = m_cancelled.contains(job.id) && job.cancel == CancelRequest::kNone;
    if (forgotten && job.state != JobState::kSucceeded) {
      return fmt::format("the cancellation of job {} is lost", job.spec.key.text());
    }
  }
  return "";
}

}  // namespace papayalift
