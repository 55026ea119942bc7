/// Text form of shapes: "8x2" is 8 tasks of 2 adjacent accelerators each.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "libraries/model/shape.h"

namespace papayalift {

/// Returns kInvalidArgument with the expected format and limits if `text` is not a valid shape.
absl::StatusOr<Shape> ParseShape(const std::string& text);

std::string ShapeText(const Shape& shape);

}  // namespace papayalift
