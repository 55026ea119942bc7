/// Parser of lab scenarios in TOML.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "libraries/lab/scenario.h"

namespace papayalift {

/// `file` is used only in messages. Returns kInvalidArgument with all problems, one per line, each
/// with its line number and key.
absl::StatusOr<Scenario> ParseScenario(const std::string& text, const std::string& file);

}  // namespace papayalift
