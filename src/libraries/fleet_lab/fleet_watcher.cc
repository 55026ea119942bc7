#include "libraries/fleet_lab/fleet_watcher.h"

#include <utility>

#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr Milliseconds kPollInterval{500};
constexpr Milliseconds kNodeTimeout{800};

HttpCall StatusCall(const FleetNode& node, const std::string& path) {
  HttpCall call;
  call.method = HttpMethod::kGet;
  call.url = "http://" + node.address + path;
  call.timeout = kNodeTimeout;
  return call;
}

}  // namespace

void FleetWatcher::Start() {
  m_node_thread.Start([this] { WatchNodes(); });
  m_target_thread.Start([this] { WatchTargets(); });
}

void FleetWatcher::Stop() {
  if (m_stop.raised()) {
    return;
  }
  m_stop.Raise();
  m_node_thread.Join();
  m_target_thread.Join();
  Poll();
}

void FleetWatcher::WatchNodes() {
  while (!m_stop.raised()) {
    PollNodes();
    m_stop.WaitFor(kPollInterval);
  }
}

void FleetWatcher::WatchTargets() {
  while (!m_stop.raised()) {
    Poll();
    m_stop.WaitFor(kPollInterval);
  }
}

void FleetWatcher::Poll() {
  PollMinions();
  PollWorkers();
  m_jobs.Follow(JobLoad::FollowMode::kList);
}

void FleetWatcher::PollMinions() {
  for (auto& [minion, record] : m_context.controls.NewMinionRecords()) {
    for (const BeginRecord& begin : record.begins) {
      m_context.log.Add(&Observations::begins, MinionBegin{minion, begin});
    }
  }
}

void FleetWatcher::PollWorkers() {
  const Milliseconds at = m_context.clock.Now();
  std::map<AttemptId, int> running;
  std::int64_t tasks = 0;
  for (auto& [worker, record] : m_context.controls.NewWorkerRecords()) {
    for (const StartRecord& start : record.starts) {
      m_gangs[start.attempt].job = start.job;
      m_gangs[start.attempt].tasks_begun += start.tasks;
      m_context.log.Add(&Observations::starts, WorkerStart{worker, start});
    }
    for (const RenewalRecord& renewal : record.renewals) {
      m_context.log.Add(&Observations::renewals, AttemptRenewal{worker, renewal});
    }
    for (const RunningAttempt& attempt : record.running) {
      running[attempt.attempt] += attempt.tasks;
      tasks += attempt.tasks;
    }
  }
  const Milliseconds since = m_polled_at > Milliseconds(0) ? at - m_polled_at : Milliseconds(0);
  m_context.log.Add(&Observations::work, WorkSample{at, since * tasks});
  m_polled_at = at;
  UpdatePartialGangs(running, at);
  FindConcurrentAttempts(running, at);
}

void FleetWatcher::UpdatePartialGangs(const std::map<AttemptId, int>& running, Milliseconds at) {
  for (auto& [attempt, gang] : m_gangs) {
    const auto tasks = running.find(attempt);
    const bool partial = tasks != running.end() && tasks->second < gang.tasks_begun;
    if (!partial) {
      gang.partial_since = Milliseconds::max();
      continue;
    }
    gang.partial_since = std::min(gang.partial_since, at);
    m_context.log.RecordPartialGang(attempt, at - gang.partial_since);
  }
  m_context.log.RecordGangsWatched(static_cast<std::int64_t>(m_gangs.size()));
}

void FleetWatcher::FindConcurrentAttempts(const std::map<AttemptId, int>& running,
                                          Milliseconds at) {
  std::map<JobId, AttemptId> first;
  std::set<std::pair<AttemptId, AttemptId>> concurrent;
  for (const auto& [attempt, tasks] : running) {
    const auto [known, added] = first.emplace(m_gangs[attempt].job, attempt);
    if (!added && !known->first.empty()) {
      concurrent.emplace(known->second, attempt);
    }
  }
  for (const std::pair<AttemptId, AttemptId>& pair : concurrent) {
    if (m_concurrent_attempts.count(pair) > 0) {
      m_context.log.Add(&Observations::concurrent_attempts,
                        ConcurrentAttempts{pair.first, pair.second, at});
    }
  }
  m_concurrent_attempts = std::move(concurrent);
}

void FleetWatcher::PollNodes() {
  const std::vector<FleetNode>& nodes = m_context.node_health.nodes();
  std::vector<HttpCall> calls;
  for (const FleetNode& node : nodes) {
    calls.push_back(StatusCall(node, "/healthz"));
    calls.push_back(StatusCall(node, "/v1/status"));
  }
  const Milliseconds at = m_context.clock.Now();
  const std::vector<HttpOutcome> outcomes = m_context.client->SendAll(calls);
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    const HttpOutcome& health = outcomes[2 * index];
    const HttpOutcome& status = outcomes[2 * index + 1];
    const bool healthy =
        health.result == HttpCallResult::kAnswered && health.status == HttpStatus::kOk;
    m_context.node_health.SetHealth(index, healthy ? NodeHealth::kHealthy : NodeHealth::kUnhealthy);
    const absl::StatusOr<Json> json = ParseJsonObject(status.body);
    if (healthy && json.ok()) {
      const BundleVersion version(json->value("bundle_version", std::int64_t{0}));
      m_context.log.Add(
          &Observations::sightings,
          BundleSighting{nodes[index].id, m_context.fleet.ProcessOf(nodes[index].id.text()), at,
                         version});
    }
  }
}

}  // namespace papayalift
