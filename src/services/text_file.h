/// Reads text files.
#pragma once

#include <string>

#include "absl/status/statusor.h"

namespace papayalift {

/// Returns kNotFound if the file can't be read.
absl::StatusOr<std::string> ReadTextFile(const std::string& path);

}  // namespace papayalift
