/// Remembers what a worker did, so that promises can be checked from outside.
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
  /// A repeated start of the same attempt is one start.
  void Started(const AttemptId& attempt);
  void Renewed(const std::vector<AttemptReport>& reports);

  /// Starts and renewals from the two indices on, and what of `running` is known.
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
