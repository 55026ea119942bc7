#include "libraries/leader/critical_path.h"

#include <algorithm>

namespace papayalift {

std::vector<Milliseconds> RemainingPaths(const std::vector<StepSpec>& steps,
                                         const std::vector<bool>& is_done) {
  std::vector<Milliseconds> paths(steps.size(), Milliseconds(0));
  // Steps depend only on earlier ones. When a step is reached in reverse order, its entry holds the
  // longest path of those that depend on it.
  for (std::size_t step = steps.size(); step-- > 0;) {
    paths[step] += is_done[step] ? Milliseconds(0) : steps[step].estimate;
    for (const int earlier : steps[step].after) {
      Milliseconds& path = paths[static_cast<std::size_t>(earlier)];
      path = std::max(path, paths[step]);
    }
  }
  return paths;
}

std::vector<StepSpec> WithDurations(std::vector<StepSpec> steps, Milliseconds duration) {
  for (StepSpec& step : steps) {
    step.estimate = duration;
  }
  return steps;
}

Milliseconds TotalCriticalPath(const std::vector<StepSpec>& steps) {
  const std::vector<Milliseconds> paths =
      RemainingPaths(steps, std::vector<bool>(steps.size(), false));
  return paths.empty() ? Milliseconds(0) : *std::max_element(paths.begin(), paths.end());
}

}  // namespace papayalift
