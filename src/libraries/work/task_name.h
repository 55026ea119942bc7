/// Identifies one task of a job.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/ids.h"

namespace papayalift {

struct TaskName {
  JobId job;
  /// Occurrence of a repeated job, from 0.
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const TaskName&) const = default;
};

/// "JOB.OCCURRENCE.STEP.INDEX"
std::string FormatTaskName(const TaskName& name);
/// Empty if `text` is malformed.
std::optional<TaskName> ParseTaskName(std::string_view text);

}  // namespace papayalift
