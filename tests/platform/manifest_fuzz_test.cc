#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "libraries/work/manifest_check.h"
#include "libraries/work/manifest_diff.h"
#include "platform/manifest_reader.h"
#include "platform/platform_schema.h"

namespace papayalift::platform {

namespace {

const char kManifest[] =
    R"({"version":3,"routes":[{"name":"q","host":"h","prefix":"/p/","service":"s","priority":1,)"
    R"("maxAttempts":3,"slackFactor":2.5,"targetLatencyMs":900,"public":true},)"
    R"({"name":"q2","host":"h","prefix":"/p/","service":"t"}],"services":[{"name":"s"}],)"
    R"("tenants":[{"name":"shop","apiKeys":["SECRET"],"guaranteed":{"gpu":16},"weight":2,)"
    R"("maxCount":{"cpu":8000,"gpu":8}},{"name":"mill","apiKeys":["SECRET","SECRET2"]}]})";

/// What a value or a part of it is replaced by.
const std::vector<std::string> kOddities = {"-1",
                                            "1e300",
                                            "-1e300",
                                            "1e999",
                                            "9223372036854775807",
                                            "18446744073709551615",
                                            "1.5",
                                            "\"\"",
                                            "\"x\"",
                                            "null",
                                            "true",
                                            "[]",
                                            "{}",
                                            "[[[[",
                                            "\xff",
                                            "\"",
                                            ",",
                                            "0",
                                            "\n\n",
                                            "]",
                                            "}",
                                            ""};

std::string MutatedManifest() {
  std::string text = kManifest;
  const int changes = *rc::gen::inRange(0, 5);
  for (int change = 0; change < changes && !text.empty(); ++change) {
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
    const std::size_t end = text.find_first_of(",:]}\n", at + 1);
    text.replace(at, end == std::string::npos ? std::string::npos : end - at,
                 *rc::gen::elementOf(kOddities));
  }
  return text;
}

void AssertUsable(const std::vector<ConfigFinding>& findings) {
  for (const ConfigFinding& finding : findings) {
    RC_ASSERT(!finding.entry.empty() && !finding.message.empty());
    RC_ASSERT(finding.entry.find("SECRET") == std::string::npos);
    RC_ASSERT(finding.message.find("SECRET") == std::string::npos);
  }
}

}  // namespace

Test(manifest_fuzz, any_manifest_gives_findings_without_keys_and_is_rejected_as_by_the_schema) {
  const bool held = rc::check("malformed manifests only give findings", [] {
    const std::string text = MutatedManifest();
    const ManifestReading reading = ReadManifest(text);
    AssertUsable(reading.rejections);
    AssertUsable(reading.adjustments);
    RC_ASSERT(reading.rejections.empty() == PlatformSchema().DecodeManifest(text).ok());
    ManifestCheckContext context;
    context.listed_services = reading.listed_services;
    context.version_in_force = ManifestVersion(3);
    context.capacity = AcceleratorCount(8);
    AssertUsable(FindManifestFaults(reading.manifest, context));
    const FleetManifest original = ReadManifest(kManifest).manifest;
    for (const ManifestDifference& difference : DiffManifests(original, reading.manifest)) {
      for (const FieldDifference& field : difference.fields) {
        RC_ASSERT(field.field != "keys" || field.before.find("SECRET") == std::string::npos);
        RC_ASSERT(field.field != "keys" || field.after.find("SECRET") == std::string::npos);
      }
    }
  });
  cr_assert(held);
}

}  // namespace papayalift::platform
