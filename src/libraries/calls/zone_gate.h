/// Admission of new work to a zone.
#pragma once

#include "libraries/base/ids.h"

namespace papayalift {

enum class ZoneAdmission {
  kOpen,
  kZoneOut,
  /// This node can't confirm its view of the zones, so no work may start.
  kUnconfirmed,
};

class ZoneGate {
 public:
  virtual ~ZoneGate() = default;

  /// May block until the view of the zones is confirmed.
  virtual ZoneAdmission Admit(const ZoneId& zone) = 0;
};

}  // namespace papayalift
