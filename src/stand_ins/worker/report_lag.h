/// Holds reports back, as a platform does whose usage reports come late.
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

  /// Each report as it was one lag ago; the oldest one heard where none is that old.
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
