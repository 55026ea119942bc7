/// Removes ended jobs and audit entries after their retention time, which bounds the size of the
/// store and of every node's copy.
#pragma once

#include <functional>

#include "libraries/node/fleet_view.h"
#include "libraries/node/gang_context.h"
#include "libraries/node/session_runner.h"

namespace papayalift {

/// How long a job is kept after it has ended. Submitting its key again within this time returns the
/// record; afterwards, the same key creates a new job.
inline constexpr Milliseconds kEndedJobRetention = std::chrono::hours(7 * 24);
inline constexpr Milliseconds kAuditRetention = std::chrono::hours(30 * 24);

class Retention {
 public:
  Retention(const GangContext& context, SessionRunner& runner)
      : m_context(context), m_runner(runner), m_last_sweep_at(context.clock.Now()) {}

  /// Adds sessions that remove a limited number of the records that this node `owns`. Does nothing
  /// when called again within the sweep interval.
  void Sweep(const FleetView& view, const std::function<bool(const JobId&)>& owns);

 private:
  void SweepJobs(const FleetView& view, const std::function<bool(const JobId&)>& owns);

  const GangContext m_context;
  SessionRunner& m_runner;
  Milliseconds m_last_sweep_at;
};

}  // namespace papayalift
