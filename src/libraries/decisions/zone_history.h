/// Since when each availability zone has been in its state, as one node saw it.
#pragma once

#include <map>

#include "libraries/model/zone_table.h"

namespace papayalift {

class ZoneHistory {
 public:
  /// `now` is a clock that never goes back. A zone first seen in service counts as unchanged.
  void Observe(const ZoneTable& zones, Milliseconds now);

  /// For Snapshot::zone_unchanged_for.
  std::map<ZoneId, Milliseconds> TimeSinceChange(Milliseconds now) const;

 private:
  struct StateChange {
    ZoneState state = ZoneState::kIn;
    Milliseconds since{0};
  };

  std::map<ZoneId, StateChange> m_last_changes;
};

}  // namespace papayalift
