#include "libraries/lab/job_groups.h"

#include <algorithm>
#include <map>
#include <string>

namespace papayalift {

namespace {

/// Lower bound on the run time in slowdown; for shorter jobs the start delay would dominate the
/// effect of the policy.
constexpr double kMinRunSeconds = 10.0;

double Seconds(Milliseconds time) { return std::chrono::duration<double>(time).count(); }

class JobGroup {
 public:
  void Add(const LabState& state, std::size_t index) {
    const LabJob& job = state.jobs[index];
    const JobRun& run = state.runs[index];
    const bool done = run.state == RunState::kDone;
    const double completion = Seconds((done ? run.ended_at : state.now) - job.submit_at);
    const double bounded_run_time = std::max(kMinRunSeconds, Seconds(job.run_time));
    m_completions.push_back(completion);
    m_slowdowns.push_back(std::max(1.0, completion / bounded_run_time));
    m_unfinished += done ? 0 : 1;
    m_longest_wait =
        std::max(m_longest_wait, Seconds(run.first_run.value_or(state.now) - job.submit_at));
  }

  JobGroupReport Report(const std::string& name) const {
    JobGroupReport report;
    report.name = name;
    report.jobs = static_cast<int>(m_completions.size());
    report.unfinished = m_unfinished;
    report.completion = Summarize(m_completions);
    report.slowdown = Summarize(m_slowdowns);
    report.longest_wait = m_longest_wait;
    return report;
  }

 private:
  std::vector<double> m_completions;
  std::vector<double> m_slowdowns;
  int m_unfinished = 0;
  double m_longest_wait = 0.0;
};

bool IsAcceptedAndNotCancelled(RunState state) {
  return state == RunState::kWaiting || state == RunState::kHolding || state == RunState::kDone;
}

using Key = int (*)(const LabJob& job);

std::map<int, JobGroup> GroupBy(const LabState& state, Key key) {
  std::map<int, JobGroup> groups;
  for (std::size_t index = 0; index < state.jobs.size(); ++index) {
    if (IsAcceptedAndNotCancelled(state.runs[index].state)) {
      groups[key(state.jobs[index])].Add(state, index);
    }
  }
  return groups;
}

}  // namespace

JobGroupReport ReportAllJobs(const LabState& state) {
  const std::map<int, JobGroup> groups = GroupBy(state, [](const LabJob& /*job*/) { return 0; });
  return groups.empty() ? JobGroup().Report("all") : groups.begin()->second.Report("all");
}

std::vector<JobGroupReport> ReportByClass(const LabState& state) {
  std::vector<JobGroupReport> reports;
  const std::map<int, JobGroup> groups =
      GroupBy(state, [](const LabJob& job) { return static_cast<int>(job.job_class); });
  reports.reserve(groups.size());
  for (const auto& [position, group] : groups) {
    reports.push_back(
        group.Report(state.scenario.classes[static_cast<std::size_t>(position)].name));
  }
  return reports;
}

std::vector<JobGroupReport> ReportBySize(const LabState& state) {
  std::vector<JobGroupReport> reports;
  const std::map<int, JobGroup> groups =
      GroupBy(state, [](const LabJob& job) { return job.spec.shape.Total().value(); });
  reports.reserve(groups.size());
  for (const auto& [size, group] : groups) {
    reports.push_back(group.Report(std::to_string(size)));
  }
  return reports;
}

}  // namespace papayalift
