/// Encodes comparisons as JSON and as a Markdown table.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/lab/comparison.h"

namespace papayalift {

std::string EncodeComparison(const Comparison& comparison);
absl::StatusOr<Comparison> DecodeComparison(std::string_view text);

/// One row per metric; each value is shown with the half-width of its 95% confidence interval.
std::string ComparisonTable(const Comparison& comparison);

}  // namespace papayalift
