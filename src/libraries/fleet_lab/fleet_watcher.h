/// Polls a fleet from outside: health and bundle of each node, starts on workers and minions, and
/// partial gangs.
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
  /// Polls the targets a last time, then returns.
  void Stop();

 private:
  /// One attempt of a gang according to the workers' records.
  struct Gang {
    JobId job;
    int tasks_begun = 0;
    /// Time since which only some tasks have been running; the largest value while all are.
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
  /// Pairs seen running at the previous poll; only pairs seen at two polls in a row are reported.
  std::set<std::pair<AttemptId, AttemptId>> m_concurrent_attempts;
  Milliseconds m_polled_at{0};
  JoiningThread m_node_thread;
  JoiningThread m_target_thread;
};

}  // namespace papayalift
