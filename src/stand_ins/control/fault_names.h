/// Names of fault kinds and conducts in control messages.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "stand_ins/control/control_messages.h"

namespace papayalift {

std::string FaultKindText(FaultKind kind);
std::optional<FaultKind> FaultKindFromText(std::string_view text);
std::string ConductText(Conduct conduct);
std::optional<Conduct> ConductFromText(std::string_view text);

}  // namespace papayalift
