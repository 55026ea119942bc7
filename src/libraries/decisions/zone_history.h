/// When each availability zone last changed its state, as observed by this node.
#pragma once

#include <map>

#include "libraries/model/zone_table.h"

namespace papayalift {

class ZoneHistory {
 public:
  /// `now` comes from a monotonic clock. A zone first seen in service counts as never changed.
  void Observe(const ZoneTable& zones, Milliseconds now);

  /// The value of Snapshot::time_since_zone_change.
  std::map<ZoneId, Milliseconds> TimeSinceChange(Milliseconds now) const;

 private:
  struct StateChange {
    ZoneState state = ZoneState::kIn;
    Milliseconds since{0};
  };

  std::map<ZoneId, StateChange> m_last_changes;
};

}  // namespace papayalift
