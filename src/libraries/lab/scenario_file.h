/// A lab scenario as people write it, in TOML.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "libraries/lab/scenario.h"

namespace papayalift {

/// `file` is only named in messages. kInvalidArgument lists every problem, one a line, with its
/// line and key.
absl::StatusOr<Scenario> ParseScenario(const std::string& text, const std::string& file);

}  // namespace papayalift
