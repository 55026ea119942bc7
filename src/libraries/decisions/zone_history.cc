#include "libraries/decisions/zone_history.h"

namespace papayalift {

void ZoneHistory::Observe(const ZoneTable& zones, Milliseconds now) {
  for (const auto& [zone, state] : zones.states) {
    const auto known = m_changed.find(zone);
    const ZoneState before = known == m_changed.end() ? ZoneState::kIn : known->second.state;
    if (state != before) {
      m_changed[zone] = Entry{state, now};
    }
  }
}

std::map<ZoneId, Milliseconds> ZoneHistory::UnchangedFor(Milliseconds now) const {
  std::map<ZoneId, Milliseconds> unchanged;
  for (const auto& [zone, entry] : m_changed) {
    unchanged[zone] = now - entry.since;
  }
  return unchanged;
}

}  // namespace papayalift
