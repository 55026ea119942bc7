/// Which guarantees fit, told to operators by name: before sign-off and after a change of zones.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libraries/decisions/snapshot.h"
#include "libraries/model/bundle.h"

namespace papayalift {

/// A guaranteed shape that can't be had together with the others.
struct GuaranteeShortfall {
  WorkspaceId workspace;
  Shape shape;
  /// How many of that shape have no place.
  int missing = 0;
  /// The zone whose loss is the cause; nothing where they don't fit with all zones in.
  std::optional<ZoneId> zone_out;

  bool operator==(const GuaranteeShortfall&) const = default;
};

/// What does not fit over the bundle's empty workers: with all zones in and, unless the bundle
/// accepts it, with any one zone out. Empty where all guarantees can be kept.
std::vector<GuaranteeShortfall> CheckGuarantees(const Bundle& bundle);

struct GuaranteeState {
  /// Unused guarantees that can be reclaimed now, by workspace and shape; `missing` is 0.
  std::vector<GuaranteeShortfall> kept;
  std::vector<GuaranteeShortfall> lost;
};

/// Which unused guarantees hold right now, given the zones in service and what runs.
GuaranteeState CurrentGuaranteeState(const Snapshot& snapshot);

/// One sentence for an operator.
std::string Describe(const GuaranteeShortfall& shortfall);

}  // namespace papayalift
