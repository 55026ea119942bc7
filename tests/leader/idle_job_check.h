/// Checks that no job is left without runs while there is room for it, by what the minions saw.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "leader/test_cluster.h"

namespace papayalift {

/// The rule: a job may not have nothing running for 3 s on end while one of its steps is ready,
/// there is room for it twice over, and under half of all capacity is in use; if these 3 s and the
/// 4 s before them are calm.
class IdleJobCheck {
 public:
  /// Looks at the minions regularly from now on. Must not outlive both.
  IdleJobCheck(VirtualTimers& timers, FleetMinions& minions);

  /// From the acceptance of a job.
  void Watch(const JobId& job, const WorkSpec& work);
  /// From the cancellation of a job.
  void Forget(const JobId& job) { m_watched.erase(job); }
  /// A fault lasts until `time`. Minions whose processes are gone are faults that needn't be told.
  void NoteFault(Milliseconds time);

  /// The jobs that were left idle against the rule, each with what was seen when it was broken.
  const std::map<JobId, std::string>& idle_jobs() const { return m_idle_jobs; }
  /// The longest time for which a job was idle with room for it, whether it was allowed or not.
  Milliseconds longest_idle() const { return m_longest_idle; }

 private:
  struct WatchedJob {
    WorkSpec work;
    /// Since when it has had nothing running while there was room for it.
    std::optional<Milliseconds> idle_since;
  };

  void Look();
  bool IsCalm() const;
  void LookAt(const JobId& id, WatchedJob& job, const std::vector<MinionRoom>& rooms);
  bool IsStepDone(const JobId& id, const WorkSpec& work, std::size_t step) const;
  bool IsStepReady(const JobId& id, const WorkSpec& work, std::size_t step) const;
  /// The first step that is ready and has room twice over; the number of steps if there is none.
  std::size_t FindReadyStep(const JobId& id, const WorkSpec& work,
                            const std::vector<MinionRoom>& rooms) const;

  VirtualTimers& m_timers;
  FleetMinions& m_minions;
  std::map<JobId, WatchedJob> m_watched;
  std::map<JobId, std::string> m_idle_jobs;
  Milliseconds m_last_fault;
  std::size_t m_minions_up = 0;
  int m_crashes = 0;
  Milliseconds m_longest_idle{0};
};

}  // namespace papayalift
