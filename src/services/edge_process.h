/// Runs one node on the users' platform.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "platform/edge_settings.h"

namespace papayalift {

/// Serves until SIGTERM or SIGINT, then stops gracefully. Returns an error if it can't start.
absl::Status RunEdgeProcess(const platform::EdgeSettings& settings, const std::string& path);

}  // namespace papayalift
