/// Whether a bundle that can be read can also be kept.
#pragma once

#include "absl/status/status.h"
#include "libraries/model/bundle.h"

namespace papayalift {

/// kFailedPrecondition lists, one a line, an unknown policy and each guarantee that does not fit.
absl::Status CheckBundle(const Bundle& bundle);

}  // namespace papayalift
