#include "libraries/fleet_lab/job_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace papayalift {

namespace {

constexpr double kMillisecondsPerSecond = 1'000.0;
constexpr Milliseconds kMinJobDuration{200};
constexpr std::array<int, 8> kGangSizes{1, 1, 2, 4, 8, 16, 32, 64};

}  // namespace

JobLoad::JobLoad(LabContext& context, const LoadSpec& spec) : m_context(context), m_spec(spec) {}

JobLoad::~JobLoad() { Join(); }

void JobLoad::Start() {
  if (m_spec.jobs_per_second > 0) {
    m_thread.Start([this] { Run(); });
  }
}

void JobLoad::Join() { m_thread.Join(); }

void JobLoad::Run() {
  std::mt19937_64 random(m_context.seed);
  std::exponential_distribution<double> gap(m_spec.jobs_per_second);
  while (!m_context.stop.raised()) {
    SubmitRandom(random);
    m_context.stop.WaitFor(
        Milliseconds(static_cast<std::int64_t>(gap(random) * kMillisecondsPerSecond)));
  }
}

void JobLoad::SubmitRandom(std::mt19937_64& random) {
  const std::vector<WorkspaceSpec>& workspaces = m_context.fleet.bundle().workspaces;
  std::uniform_int_distribution<std::size_t> pick_workspace(0, workspaces.size() - 1);
  std::uniform_int_distribution<std::size_t> pick_size(0, kGangSizes.size() - 1);
  std::uniform_int_distribution<std::int64_t> pick_run(
      kMinJobDuration.count(), std::max(kMinJobDuration, m_spec.longest_job).count());
  std::bernoulli_distribution repeatable(m_spec.idempotent_share);
  const WorkspaceSpec& workspace = workspaces[pick_workspace(random)];
  const int tasks = std::min(kGangSizes[pick_size(random)], m_spec.largest_gang);
  JobSpec spec = MakeSpec("load", workspace.id, Shape{TaskCount(tasks), AcceleratorCount(1)},
                          Milliseconds(pick_run(random)));
  spec.idempotency = repeatable(random) ? Idempotency::kIdempotent : Idempotency::kNonIdempotent;
  Submit(spec);
}

JobSpec JobLoad::MakeSpec(const std::string& label, const WorkspaceId& workspace, Shape shape,
                          Milliseconds run) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  JobSpec spec;
  spec.workspace = workspace;
  spec.key = CallerKey(fmt::format("{}-{}-{}", m_context.run_name, label, m_next_number++));
  spec.shape = shape;
  spec.declared_run_time = run;
  spec.payload = fmt::format("run {}ms", run.count());
  return spec;
}

JobObservation JobLoad::Submit(const JobSpec& spec) {
  JobObservation seen;
  seen.spec = spec;
  seen.id = JobIdOf(spec.workspace, spec.key);
  seen.submitted_at = m_context.clock.Now();
  m_context.api.Submit(m_context.node_health.Pick(), seen);
  m_context.log.SetJob(seen);
  if (seen.submit != SubmitResult::kRefused) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_open[seen.id] = seen;
  }
  return seen;
}

void JobLoad::Follow(FollowMode mode) {
  if (mode == FollowMode::kList) {
    for (const auto& [id, record] : m_context.api.List(m_context.node_health.Pick())) {
      Update(record);
    }
    return;
  }
  for (const JobId& job : OpenJobs()) {
    const std::optional<JobRecord> record = m_context.api.Show(m_context.node_health.Pick(), job);
    if (record.has_value()) {
      Update(*record);
    }
  }
}

void JobLoad::Update(const JobRecord& record) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto known = m_open.find(record.id);
  if (known == m_open.end()) {
    return;
  }
  known->second.record = record;
  m_context.log.SetJob(known->second);
  if (IsFinal(record.state)) {
    m_open.erase(known);
  }
}

std::size_t JobLoad::open() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return static_cast<std::size_t>(std::count_if(
      m_open.begin(), m_open.end(),
      [](const auto& entry) { return entry.second.submit == SubmitResult::kAccepted; }));
}

std::vector<JobId> JobLoad::OpenJobs() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<JobId> jobs;
  for (const auto& [id, job] : m_open) {
    jobs.push_back(id);
  }
  return jobs;
}

}  // namespace papayalift
