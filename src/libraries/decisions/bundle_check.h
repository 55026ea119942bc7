/// Checks that the policy of a parsed bundle is known and that its guarantees fit.
#pragma once

#include "absl/status/status.h"
#include "libraries/model/bundle.h"

namespace papayalift {

/// The message of kFailedPrecondition lists an unknown policy and each guarantee that does not fit,
/// one per line.
absl::Status CheckBundle(const Bundle& bundle);

}  // namespace papayalift
