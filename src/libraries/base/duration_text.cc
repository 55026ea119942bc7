#include "libraries/base/duration_text.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cmath>

namespace papayalift {

namespace {

struct DurationUnit {
  std::string_view suffix;
  double milliseconds;
};

// NOTE: "ms" has to precede "m" and "s", since the first matching suffix is used.
constexpr std::array<DurationUnit, 4> kUnits{{
    {"ms", 1.0},
    {"s", 1'000.0},
    {"m", 60'000.0},
    {"h", 3'600'000.0},
}};

constexpr double kMaxMilliseconds = 10.0 * 366 * 24 * 3'600'000;

absl::Status InvalidDurationError(std::string_view text) {
  return absl::InvalidArgumentError(fmt::format(
      "'{}' is no duration; write a number with ms, s, m or h, such as \"1.5s\"", text));
}

}  // namespace

absl::StatusOr<Milliseconds> ParseDuration(std::string_view text) {
  for (const DurationUnit& unit : kUnits) {
    if (!text.ends_with(unit.suffix)) {
      continue;
    }
    const std::string_view digits = text.substr(0, text.size() - unit.suffix.size());
    double number = 0;
    const std::from_chars_result parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    const bool is_complete =
        parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
    if (!is_complete || !(number >= 0) || number * unit.milliseconds > kMaxMilliseconds) {
      return InvalidDurationError(text);
    }
    return Milliseconds(std::llround(number * unit.milliseconds));
  }
  return InvalidDurationError(text);
}

std::string DurationText(Milliseconds duration) {
  constexpr std::int64_t kMillisecondsPerSecond = 1'000;
  if (duration.count() % kMillisecondsPerSecond == 0) {
    return fmt::format("{}s", duration.count() / kMillisecondsPerSecond);
  }
  return fmt::format("{}ms", duration.count());
}

}  // namespace papayalift
