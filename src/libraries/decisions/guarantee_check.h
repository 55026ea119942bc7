/// Checks which guarantees fit, before sign-off and after zone changes, and describes shortfalls to
/// operators.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libraries/decisions/snapshot.h"
#include "libraries/model/bundle.h"

namespace papayalift {

/// A guaranteed shape of a workspace, and how many gangs of it do not fit together with the other
/// guarantees.
struct GuaranteeShortfall {
  WorkspaceId workspace;
  Shape shape;
  /// How many gangs of the shape do not fit.
  int missing = 0;
  /// The zone whose loss is the cause; nullopt if they don't fit even with all zones in.
  std::optional<ZoneId> zone_out;

  bool operator==(const GuaranteeShortfall&) const = default;
};

/// The guarantees that do not fit on the bundle's workers while these are empty: with all zones in
/// and, unless the bundle accepts that, with any one zone out. Empty if all fit.
std::vector<GuaranteeShortfall> CheckGuarantees(const Bundle& bundle);

struct GuaranteeState {
  /// Unused guarantees that can be reclaimed now, by workspace and shape; `missing` is 0.
  std::vector<GuaranteeShortfall> kept;
  std::vector<GuaranteeShortfall> lost;
};

/// Which unused guarantees can be reclaimed now, given the zones in service and the running gangs.
GuaranteeState CurrentGuaranteeState(const Snapshot& snapshot);

/// One-sentence description for operators.
std::string Describe(const GuaranteeShortfall& shortfall);

}  // namespace papayalift
