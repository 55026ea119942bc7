/// Records the starts and renewals on a worker, so that tests can check invariants on them.
#pragma once

#include <map>
#include <mutex>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/worker/worker_messages.h"
#include "stand_ins/control/control_messages.h"

namespace papayalift {

/// Thread-safe.
class WorkerRecorder {
 public:
  explicit WorkerRecorder(const Clock& clock) : m_clock(clock) {}

  void Prepared(const PrepareRequest& request);
  /// Records the first start of an attempt; ignores repeated starts.
  void Started(const AttemptId& attempt);
  void Renewed(const std::vector<AttemptReport>& reports);

  /// Returns the starts and renewals from the given indices on, and the task counts of the attempts
  /// in `running` (0 for an attempt that was never prepared).
  WorkerRecord RecordSince(std::size_t first_start, std::size_t first_renewal,
                           const std::vector<AttemptId>& running) const;

 private:
  struct AttemptState {
    JobId job;
    int tasks = 0;
    bool started = false;
    Milliseconds renewed_at{0};
  };

  const Clock& m_clock;
  mutable std::mutex m_mutex;
  std::map<AttemptId, AttemptState> m_attempts;
  std::vector<StartRecord> m_starts;
  std::vector<RenewalRecord> m_renewals;
};

}  // namespace papayalift
