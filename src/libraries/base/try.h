/// A macro for error propagation.
#pragma once

#include <type_traits>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace papayalift {

inline absl::Status StatusOf(absl::Status&& status) { return std::move(status); }

template <typename T>
absl::Status StatusOf(absl::StatusOr<T>&& result) {
  return std::move(result).status();
}

inline void ValueOf(absl::Status&& /*status*/) {}

template <typename T>
T ValueOf(absl::StatusOr<T>&& result) {
  return *std::move(result);
}

}  // namespace papayalift

// NOLINTBEGIN(bugprone-macro-parentheses): a declared name can't be parenthesized.
#define PAPAYALIFT_TRY_NAMED(result, expression)        \
  __extension__({                                       \
    auto result = (expression);                         \
    if (!result.ok()) [[unlikely]] {                    \
      return ::papayalift::StatusOf(std::move(result)); \
    }                                                   \
    ::papayalift::ValueOf(std::move(result));           \
  })
// NOLINTEND(bugprone-macro-parentheses)
#define PAPAYALIFT_JOIN_NAMES(left, right) left##right
#define PAPAYALIFT_TRY_NUMBERED(number, expression) \
  PAPAYALIFT_TRY_NAMED(PAPAYALIFT_JOIN_NAMES(try_result_, number), expression)

/// Evaluates to the value of `expression` (an absl::Status or absl::StatusOr), or returns its error
/// from the enclosing function.
#define TRY(expression) PAPAYALIFT_TRY_NUMBERED(__COUNTER__, expression)
