/// Removes what has been kept long enough, so that the store and every node's copy stay bounded:
/// jobs that have ended, and audit entries.
#pragma once

#include <functional>

#include "libraries/node/fleet_view.h"
#include "libraries/node/gang_context.h"
#include "libraries/node/session_runner.h"

namespace papayalift {

/// How long a job is kept once it has ended. A repeat of its key within this time is answered from
/// the record; after it, the same key names a new job.
inline constexpr Milliseconds kEndedJobRetention = std::chrono::hours(7 * 24);
inline constexpr Milliseconds kAuditRetention = std::chrono::hours(30 * 24);

class Retention {
 public:
  Retention(const GangContext& context, SessionRunner& runner)
      : m_context(context), m_runner(runner), m_last_sweep_at(context.clock.Now()) {}

  /// Adds sessions that remove some of what this node `owns`; does nothing more often than once an
  /// interval.
  void Sweep(const FleetView& view, const std::function<bool(const JobId&)>& owns);

 private:
  void SweepJobs(const FleetView& view, const std::function<bool(const JobId&)>& owns);

  const GangContext m_context;
  SessionRunner& m_runner;
  Milliseconds m_last_sweep_at;
};

}  // namespace papayalift
