#include "libraries/lab/shape_text.h"

#include <fmt/format.h>

#include "absl/strings/numbers.h"
#include "libraries/model/accelerator_set.h"
#include "libraries/model/job_spec.h"

namespace papayalift {

absl::StatusOr<Shape> ParseShape(const std::string& text) {
  const std::size_t cross = text.find('x');
  int tasks = 0;
  int accelerators = 0;
  const bool numbers = cross != std::string::npos &&
                       absl::SimpleAtoi(text.substr(0, cross), &tasks) &&
                       absl::SimpleAtoi(text.substr(cross + 1), &accelerators);
  const bool in_range = tasks >= 1 && tasks <= kMaxGangTasks && accelerators >= 1 &&
                        accelerators <= AcceleratorSet::kMaxWorkerAccelerators;
  if (!numbers || !in_range) {
    return absl::InvalidArgumentError(
        fmt::format("'{}' is not a valid shape; expected tasks x accelerators per task, such as "
                    "\"8x2\", at most \"{}x{}\"",
                    text, kMaxGangTasks, AcceleratorSet::kMaxWorkerAccelerators));
  }
  return Shape{TaskCount(tasks), AcceleratorCount(accelerators)};
}

std::string ShapeText(const Shape& shape) {
  return fmt::format("{}x{}", shape.tasks.value(), shape.accelerators_per_task.value());
}

}  // namespace papayalift
