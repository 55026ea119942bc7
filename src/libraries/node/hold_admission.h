/// Whether calls may go on by the last view although nobody confirms it.
#pragma once

#include "libraries/base/units.h"

namespace papayalift {

class HoldAdmission {
 public:
  virtual ~HoldAdmission() = default;

  /// Answers at once. `zones` is the epoch of the view that calls would go by.
  virtual bool MayAdmitCalls(ZoneEpoch zones) = 0;
};

}  // namespace papayalift
