#include "libraries/model/zone_table.h"

namespace papayalift {

ZoneState ZoneTable::StateOf(const ZoneId& zone) const {
  const auto found = states.find(zone);
  return found == states.end() ? ZoneState::kIn : found->second;
}

}  // namespace papayalift
