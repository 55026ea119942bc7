/// The behavior of a stand-in's task, given by its payload: "run 2s" or "fail 1s".
#pragma once

#include <string>

#include "libraries/base/units.h"

namespace papayalift {

enum class TaskEnd { kSucceeds, kFails };

struct TaskScript {
  Milliseconds work{0};
  TaskEnd end = TaskEnd::kSucceeds;
};

/// Any other payload gives a script that fails at once.
TaskScript ParseTaskScript(const std::string& payload);

}  // namespace papayalift
