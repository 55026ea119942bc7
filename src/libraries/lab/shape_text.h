/// Shapes as text: "8x2" is 8 tasks of 2 adjacent accelerators each.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "libraries/model/shape.h"

namespace papayalift {

/// kInvalidArgument says what would be right.
absl::StatusOr<Shape> ParseShape(const std::string& text);

std::string ShapeText(const Shape& shape);

}  // namespace papayalift
