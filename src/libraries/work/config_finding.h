/// What a check reports of a configuration.
#pragma once

#include <string>

namespace papayalift {

enum class FindingSeverity {
  /// It takes effect as written, but is probably not intended.
  kWarning,
  /// It is refused, or does not take effect as written.
  kError,
};

struct ConfigFinding {
  FindingSeverity severity = FindingSeverity::kError;
  /// The entry's kind and name, or its place in the file.
  std::string entry;
  /// Never contains a key of a workspace.
  std::string message;

  bool operator==(const ConfigFinding&) const = default;
};

}  // namespace papayalift
