/// The name of the operator who runs a command, for the audit trail.
#pragma once

#include <string>

namespace papayalift {

/// The user's name in the environment, or "operator".
std::string DefaultOperatorName();

}  // namespace papayalift
