/// The result of `papayalift config check`, as text and as JSON.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libraries/work/config_finding.h"
#include "libraries/work/manifest_diff.h"

namespace papayalift {

struct ConfigReport {
  std::string file;
  /// Unset if the file is rejected.
  std::optional<ManifestVersion> version;
  std::vector<ConfigFinding> findings;
  /// From the version in force to the file.
  std::vector<ManifestDifference> differences;

  std::int64_t Count(FindingSeverity severity) const;
  bool has_errors() const { return Count(FindingSeverity::kError) > 0; }
};

/// One line a finding and a difference, and a line with the result; no newline at the end.
std::string ConfigReportText(const ConfigReport& report);

std::string ConfigReportJson(const ConfigReport& report);

}  // namespace papayalift
