/// Which availability zones are in service, as last set by operators.
#pragma once

#include <map>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

enum class ZoneState { kIn, kOut };

struct ZoneTable {
  /// Incremented with every change.
  ZoneEpoch epoch;
  /// A zone without an entry is in service.
  std::map<ZoneId, ZoneState> states;

  ZoneState StateOf(const ZoneId& zone) const;
};

}  // namespace papayalift
