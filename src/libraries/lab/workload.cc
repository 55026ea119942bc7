#include "libraries/lab/workload.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "libraries/lab/random_source.h"
#include "libraries/model/accelerator_set.h"

namespace papayalift {

namespace {

constexpr double kMillisecondsPerDay = 86'400'000.0;
constexpr Milliseconds kMinRunTime{1'000};
/// The jobs of a burst arrive within this time.
constexpr Milliseconds kBurstDuration{60'000};

Milliseconds ToMilliseconds(double milliseconds) {
  return Milliseconds(static_cast<std::int64_t>(milliseconds));
}

class ClassGenerator {
 public:
  ClassGenerator(const Scenario& scenario, std::size_t job_class, std::uint64_t seed)
      : m_scenario(scenario),
        m_index(job_class),
        m_class(scenario.classes[job_class]),
        m_arrivals(seed, m_class.name + "/arrivals"),
        m_bursts(seed, m_class.name + "/bursts"),
        m_waves(seed, m_class.name + "/waves") {
    for (const WorkspacePlan& plan : scenario.workspaces) {
      if (Submits(plan.spec.id)) {
        m_submitters.push_back(&plan);
        m_shares += plan.share;
      }
    }
  }

  void AddArrivals(std::vector<LabJob>& jobs) {
    if (m_class.jobs_per_day <= 0.0) {
      return;
    }
    Milliseconds at = NextAfter(Milliseconds(0), m_class.jobs_per_day, m_arrivals);
    while (at < m_scenario.timing.length) {
      jobs.push_back(MakeJob(at, PickWorkspace(m_arrivals), m_arrivals));
      at = NextAfter(at, m_class.jobs_per_day, m_arrivals);
    }
  }

  void AddBursts(std::vector<LabJob>& jobs) {
    if (m_class.bursts_per_day <= 0.0) {
      return;
    }
    Milliseconds at = NextAfter(Milliseconds(0), m_class.bursts_per_day, m_bursts);
    while (at < m_scenario.timing.length) {
      AddBurst(at, jobs);
      at = NextAfter(at, m_class.bursts_per_day, m_bursts);
    }
  }

  void AddWave(const CancellationWave& wave, std::vector<LabJob>& jobs) {
    for (int index = 0; index < wave.jobs; ++index) {
      jobs.push_back(MakeJob(wave.submit, wave.workspace, m_waves));
      jobs.back().cancel_at = wave.cancel;
    }
  }

 private:
  static Milliseconds NextAfter(Milliseconds at, double per_day, RandomSource& random) {
    return at + ToMilliseconds(random.Exponential(kMillisecondsPerDay / per_day));
  }

  bool Submits(const WorkspaceId& workspace) const {
    const std::vector<WorkspaceId>& named = m_class.workspaces;
    return named.empty() || std::find(named.begin(), named.end(), workspace) != named.end();
  }

  /// All jobs of one burst come from one workspace.
  void AddBurst(Milliseconds at, std::vector<LabJob>& jobs) {
    const WorkspaceId workspace = PickWorkspace(m_bursts);
    for (int index = 0; index < m_class.jobs_per_burst; ++index) {
      const Milliseconds offset =
          ToMilliseconds(m_bursts.Uniform() * static_cast<double>(kBurstDuration.count()));
      jobs.push_back(MakeJob(at + offset, workspace, m_bursts));
    }
  }

  WorkspaceId PickWorkspace(RandomSource& random) const {
    double rest = random.Uniform() * m_shares;
    for (const WorkspacePlan* const plan : m_submitters) {
      rest -= plan->share;
      if (rest < 0.0) {
        return plan->spec.id;
      }
    }
    return m_submitters.back()->spec.id;
  }

  LabJob MakeJob(Milliseconds at, const WorkspaceId& workspace, RandomSource& random) const {
    LabJob job;
    job.job_class = m_index;
    job.submit_at = at;
    job.spec.workspace = workspace;
    job.spec.shape = m_class.shapes[random.UniformIndex(m_class.shapes.size())];
    job.run_time = LogNormal(m_class.run_time, m_class.run_time_spread, random);
    job.spec.declared_run_time = LogNormal(job.run_time, std::log(m_class.declared_error), random);
    const bool urgent = random.Bernoulli(m_class.urgent_share);
    job.spec.urgency = urgent ? Urgency::kUrgent : Urgency::kNormal;
    if (random.Bernoulli(m_class.never_share)) {
      MakeInfeasible(job);
    }
    return job;
  }

  /// Log-normal with the given median, and at least kMinRunTime.
  static Milliseconds LogNormal(Milliseconds median, double sigma, RandomSource& random) {
    const double factor = std::exp(sigma * random.Normal());
    return std::max(kMinRunTime, ToMilliseconds(factor * static_cast<double>(median.count())));
  }

  /// Requests more accelerators than any lab deployment has in one zone.
  static void MakeInfeasible(LabJob& job) {
    job.feasibility = Feasibility::kInfeasible;
    job.spec.shape =
        Shape{TaskCount(kMaxGangTasks), AcceleratorCount(AcceleratorSet::kMaxWorkerAccelerators)};
  }

  const Scenario& m_scenario;
  std::size_t m_index;
  const JobClass& m_class;
  RandomSource m_arrivals;
  RandomSource m_bursts;
  RandomSource m_waves;
  std::vector<const WorkspacePlan*> m_submitters;
  double m_shares = 0.0;
};

void AddClass(const Scenario& scenario, std::size_t job_class, std::uint64_t seed,
              std::vector<LabJob>& jobs) {
  ClassGenerator generator(scenario, job_class, seed);
  generator.AddArrivals(jobs);
  generator.AddBursts(jobs);
  for (const CancellationWave& wave : scenario.cancellation_waves) {
    if (wave.job_class == scenario.classes[job_class].name) {
      generator.AddWave(wave, jobs);
    }
  }
}

}  // namespace

std::vector<LabJob> GenerateJobs(const Scenario& scenario, std::uint64_t seed) {
  std::vector<LabJob> jobs;
  for (std::size_t job_class = 0; job_class < scenario.classes.size(); ++job_class) {
    AddClass(scenario, job_class, seed, jobs);
  }
  std::stable_sort(jobs.begin(), jobs.end(), [](const LabJob& left, const LabJob& right) {
    return left.submit_at < right.submit_at;
  });
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    jobs[index].id = JobId(fmt::format("job-{:06}", index));
    jobs[index].spec.key = CallerKey(jobs[index].id.text());
  }
  return jobs;
}

}  // namespace papayalift
