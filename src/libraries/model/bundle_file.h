/// Parses the bundle file that operators write, in TOML.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "libraries/model/bundle.h"

namespace papayalift {

/// `file` is used only in messages. kInvalidArgument lists every error, one per line: unknown keys,
/// invalid types and ranges, duplicate names, undeclared names.
absl::StatusOr<Bundle> ParseBundle(const std::string& text, const std::string& file);

}  // namespace papayalift
