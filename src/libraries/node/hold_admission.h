/// Decides whether calls may still be admitted under a view that can't be confirmed.
#pragma once

#include "libraries/base/units.h"

namespace papayalift {

class HoldAdmission {
 public:
  virtual ~HoldAdmission() = default;

  /// Does not block. `zones` is the zone epoch of that view.
  virtual bool MayAdmitCalls(ZoneEpoch zones) = 0;
};

}  // namespace papayalift
