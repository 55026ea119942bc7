#include "stand_ins/worker/task_script.h"

#include <string_view>

#include "libraries/base/duration_text.h"

namespace papayalift {

TaskScript ParseTaskScript(const std::string& payload) {
  constexpr std::string_view kRun = "run ";
  constexpr std::string_view kFail = "fail ";
  const std::string_view text = payload;
  TaskScript script;
  script.end = text.starts_with(kRun) ? TaskEnd::kSucceeds : TaskEnd::kFails;
  const std::size_t start = script.end == TaskEnd::kSucceeds ? kRun.size() : kFail.size();
  const absl::StatusOr<Milliseconds> work =
      ParseDuration(text.substr(text.size() < start ? text.size() : start));
  if (!work.ok()) {
    return TaskScript{Milliseconds(0), TaskEnd::kFails};
  }
  script.work = *work;
  return script;
}

}  // namespace papayalift
