/// Formats the result of a run as JSON and as text.
#pragma once

#include <string>

#include "libraries/fleet_lab/lab_result.h"

namespace papayalift {

std::string LabResultJson(const LabResult& result);
std::string LabResultText(const LabResult& result);

}  // namespace papayalift
