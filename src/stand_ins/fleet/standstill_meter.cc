#include "stand_ins/fleet/standstill_meter.h"

#include <algorithm>
#include <utility>

namespace papayalift {

namespace {

constexpr Milliseconds kSampleInterval{100};

}  // namespace

void StandstillMeter::Start() {
  m_timers.After(kSampleInterval, [this] {
    Sample();
    Start();
  });
}

Milliseconds StandstillMeter::LongestOf(const JobId& job) const {
  const auto found = m_longest.find(job);
  return found == m_longest.end() ? Milliseconds(0) : found->second;
}

void StandstillMeter::Sample() {
  const Milliseconds now = m_timers.clock().Now();
  std::map<JobId, Milliseconds> standing;
  if (ManyMinionsAreEmpty()) {
    for (const JobId& job : m_minions.InterruptedJobs()) {
      const auto before = m_standing_since.find(job);
      standing[job] = before == m_standing_since.end() ? now : before->second;
      m_longest[job] = std::max(m_longest[job], now - standing[job]);
    }
  }
  m_standing_since = std::move(standing);
}

bool StandstillMeter::ManyMinionsAreEmpty() {
  int ready = 0;
  int empty = 0;
  for (const MinionRoom& room : m_minions.Rooms()) {
    if (room.state == MinionState::kReady) {
      ++ready;
      empty += room.taken == Resources{} ? 1 : 0;
    }
  }
  return !m_minions.IsEvacuated() && empty > 0 && 2 * empty >= ready;
}

}  // namespace papayalift
