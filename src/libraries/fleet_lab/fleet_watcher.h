/// Watches a fleet from outside: health and bundle of each node, starts on workers and minions,
/// gangs that are partial.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "libraries/base/joining_thread.h"
#include "libraries/fleet_lab/job_load.h"
#include "libraries/fleet_lab/lab_context.h"

namespace papayalift {

class FleetWatcher {
 public:
  FleetWatcher(LabContext& context, JobLoad& jobs) : m_context(context), m_jobs(jobs) {}
  ~FleetWatcher() { Stop(); }

  void Start();
  /// After one last look.
  void Stop();

 private:
  /// One gang's attempt as the workers' records tell it.
  struct Gang {
    JobId job;
    int tasks_begun = 0;
    /// Since when only a part has been running; the largest value while it is whole.
    Milliseconds partial_since{Milliseconds::max()};
  };

  void WatchNodes();
  void WatchTargets();
  void Poll();
  void PollMinions();
  void PollWorkers();
  void UpdatePartialGangs(const std::map<AttemptId, int>& running, Milliseconds at);
  void FindConcurrentAttempts(const std::map<AttemptId, int>& running, Milliseconds at);
  void PollNodes();

  LabContext& m_context;
  JobLoad& m_jobs;
  StopSignal m_stop;
  std::map<AttemptId, Gang> m_gangs;
  /// Pairs seen running at the look before; only what lasts from one look to the next counts.
  std::set<std::pair<AttemptId, AttemptId>> m_concurrent_attempts;
  Milliseconds m_polled_at{0};
  JoiningThread m_node_thread;
  JoiningThread m_target_thread;
};

}  // namespace papayalift
