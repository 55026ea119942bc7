/// Comparisons as JSON and as a table.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/lab/comparison.h"

namespace papayalift {

std::string EncodeComparison(const Comparison& comparison);
absl::StatusOr<Comparison> DecodeComparison(std::string_view text);

/// One line for each metric, each value with half of the width of its 95% confidence interval.
std::string ComparisonTable(const Comparison& comparison);

}  // namespace papayalift
