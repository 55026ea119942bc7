#include "stand_ins/worker/report_lag.h"

namespace papayalift {

void ReportLag::SetLag(Milliseconds lag) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_lag = lag;
  m_samples.clear();
}

std::vector<AttemptReport> ReportLag::Delayed(const std::vector<AttemptReport>& reports) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_lag <= Milliseconds(0)) {
    return reports;
  }
  const Milliseconds now = m_clock.Now();
  std::vector<AttemptReport> delayed;
  for (const AttemptReport& report : reports) {
    std::deque<Sample>& samples = m_samples[report.attempt];
    samples.push_back(Sample{now, report});
    while (samples.size() > 1 && samples[1].at <= now - m_lag) {
      samples.pop_front();
    }
    delayed.push_back(samples.front().report);
  }
  return delayed;
}

}  // namespace papayalift
