#include "services/config_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "libraries/base/enum_names.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr std::array<EnumName<FindingSeverity>, 2> kSeverities{
    {{FindingSeverity::kWarning, "warning"}, {FindingSeverity::kError, "error"}}};

constexpr std::array<EnumName<ManifestChange>, 3> kChanges{{{ManifestChange::kAdded, "added"},
                                                            {ManifestChange::kRemoved, "removed"},
                                                            {ManifestChange::kChanged, "changed"}}};

std::string DifferenceText(const ManifestDifference& difference) {
  std::string text = fmt::format("{} {} '{}'", EnumText(kChanges, difference.change),
                                 difference.kind, difference.name);
  const char* separator = ": ";
  for (const FieldDifference& field : difference.fields) {
    text += fmt::format("{}{} {} -> {}", separator, field.field, field.before, field.after);
    separator = ", ";
  }
  return text;
}

/// "1 error", "2 errors".
std::string CountText(std::int64_t count, const std::string& noun) {
  return fmt::format("{} {}{}", count, noun, count == 1 ? "" : "s");
}

std::string ResultText(const ConfigReport& report) {
  const std::string counts =
      fmt::format("{}, {}", CountText(report.Count(FindingSeverity::kError), "error"),
                  CountText(report.Count(FindingSeverity::kWarning), "warning"));
  if (report.has_errors() || !report.version.has_value()) {
    return fmt::format("{}: {}", report.file, counts);
  }
  return fmt::format("{}: ok, version {}, {}", report.file, report.version->value(), counts);
}

Json FindingJson(const ConfigFinding& finding) {
  return Json{{"severity", EnumText(kSeverities, finding.severity)},
              {"entry", finding.entry},
              {"message", finding.message}};
}

Json DifferenceJson(const ManifestDifference& difference) {
  Json fields = Json::array();
  for (const FieldDifference& field : difference.fields) {
    fields.push_back(
        Json{{"field", field.field}, {"before", field.before}, {"after", field.after}});
  }
  return Json{{"change", EnumText(kChanges, difference.change)},
              {"kind", difference.kind},
              {"name", difference.name},
              {"fields", std::move(fields)}};
}

}  // namespace

std::int64_t ConfigReport::Count(FindingSeverity severity) const {
  return std::count_if(findings.begin(), findings.end(), [severity](const ConfigFinding& finding) {
    return finding.severity == severity;
  });
}

std::string ConfigReportText(const ConfigReport& report) {
  std::string text;
  for (const ConfigFinding& finding : report.findings) {
    text += fmt::format("{}: {}: {}\n", EnumText(kSeverities, finding.severity), finding.entry,
                        finding.message);
  }
  for (const ManifestDifference& difference : report.differences) {
    text += DifferenceText(difference) + "\n";
  }
  return text + ResultText(report);
}

std::string ConfigReportJson(const ConfigReport& report) {
  Json json{{"file", report.file},
            {"ok", !report.has_errors()},
            {"version", nullptr},
            {"findings", Json::array()},
            {"differences", Json::array()}};
  if (report.version.has_value()) {
    json["version"] = report.version->value();
  }
  for (const ConfigFinding& finding : report.findings) {
    json["findings"].push_back(FindingJson(finding));
  }
  for (const ManifestDifference& difference : report.differences) {
    json["differences"].push_back(DifferenceJson(difference));
  }
  // The name of a file need not be valid UTF-8.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace papayalift
