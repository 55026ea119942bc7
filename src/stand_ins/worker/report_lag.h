/// Delays attempt reports, to simulate a platform with late usage reports.
#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/worker/worker_messages.h"

namespace papayalift {

/// Thread-safe.
class ReportLag {
 public:
  explicit ReportLag(const Clock& clock) : m_clock(clock) {}

  void SetLag(Milliseconds lag);

  /// Returns each report as of one lag ago, or the oldest known report if none is that old.
  std::vector<AttemptReport> Delayed(const std::vector<AttemptReport>& reports);

 private:
  struct Sample {
    Milliseconds at{0};
    AttemptReport report;
  };

  const Clock& m_clock;
  std::mutex m_mutex;
  Milliseconds m_lag{0};
  std::map<AttemptId, std::deque<Sample>> m_samples;
};

}  // namespace papayalift
