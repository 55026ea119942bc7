#include "libraries/work/task_name.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace papayalift {

std::string FormatTaskName(const TaskName& name) {
  return fmt::format("{}.{}.{}.{}", name.job.text(), name.occurrence, name.step, name.index);
}

std::optional<TaskName> ParseTaskName(std::string_view text) {
  std::array<int, 3> numbers{};
  for (std::size_t field = numbers.size(); field > 0; --field) {
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view digits = text.substr(dot + 1);
    const char* const end = digits.data() + digits.size();
    const std::from_chars_result parsed =
        std::from_chars(digits.data(), end, numbers.at(field - 1));
    if (parsed.ec != std::errc() || parsed.ptr != end || numbers.at(field - 1) < 0) {
      return std::nullopt;
    }
    text = text.substr(0, dot);
  }
  if (text.empty()) {
    return std::nullopt;
  }
  return TaskName{JobId(std::string(text)), numbers[0], numbers[1], numbers[2]};
}

}  // namespace papayalift
