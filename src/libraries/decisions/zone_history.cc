#include "libraries/decisions/zone_history.h"

namespace papayalift {

void ZoneHistory::Observe(const ZoneTable& zones, Milliseconds now) {
  for (const auto& [zone, state] : zones.states) {
    const auto last_change = m_last_changes.find(zone);
    const ZoneState previous_state =
        last_change == m_last_changes.end() ? ZoneState::kIn : last_change->second.state;
    if (state != previous_state) {
      m_last_changes[zone] = StateChange{state, now};
    }
  }
}

std::map<ZoneId, Milliseconds> ZoneHistory::TimeSinceChange(Milliseconds now) const {
  std::map<ZoneId, Milliseconds> unchanged;
  for (const auto& [zone, change] : m_last_changes) {
    unchanged[zone] = now - change.since;
  }
  return unchanged;
}

}  // namespace papayalift
