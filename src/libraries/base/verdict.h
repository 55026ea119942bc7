/// What is known about whether requested work ran.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace papayalift {

enum class Verdict {
  kRan,
  /// It is certain that the work did not run and will not run under this request.
  kNotRun,
  kMayHaveRun,
};

std::string VerdictText(Verdict verdict);
std::optional<Verdict> VerdictFromText(std::string_view text);

}  // namespace papayalift
