#include "platform/manifest_reader.h"

#include <criterion/criterion.h>

#include "platform/platform_schema.h"

namespace papayalift::platform {

namespace {

const char kQueue[] = R"({"name":"q","host":"h","prefix":"/p/","service":"s")";

/// A manifest with one route that has the further fields `fields`, and with the tenants `tenants`.
std::string ManifestWith(const std::string& fields, const std::string& tenants = "") {
  return std::string(R"({"version":3,"routes":[)") + kQueue + (fields.empty() ? "" : ",") + fields +
         R"(}],"tenants":[)" + tenants + "]}";
}

void AssertOnly(const std::vector<ConfigFinding>& findings, const std::string& entry,
                const std::string& part) {
  cr_assert_eq(findings.size(), 1, "%s: %zu findings", entry.c_str(), findings.size());
  cr_expect(findings[0].severity == FindingSeverity::kError);
  cr_expect_eq(findings[0].entry, entry, "%s", findings[0].entry.c_str());
  cr_expect(findings[0].message.find(part) != std::string::npos, "%s", findings[0].message.c_str());
}

void AssertRejected(const std::string& text, const std::string& entry, const std::string& part) {
  AssertOnly(ReadManifest(text).rejections, entry, part);
  cr_expect_not(PlatformSchema().DecodeManifest(text).ok());
}

/// The number takes effect as another one, and the manifest takes effect.
void AssertAdjusted(const std::string& text, const std::string& entry, const std::string& part) {
  const ManifestReading reading = ReadManifest(text);
  cr_expect(reading.rejections.empty());
  AssertOnly(reading.adjustments, entry, part);
  cr_expect(PlatformSchema().DecodeManifest(text).ok());
}

}  // namespace

Test(manifest_reader, values_in_range_give_no_findings) {
  const ManifestReading reading = ReadManifest(
      R"({"version":3,"routes":[{"name":"q","host":"h","prefix":"/p/","service":"s",)"
      R"("maxAttempts":1,"slackFactor":0.5,"targetLatencyMs":0,"recommendation":{}}],)"
      R"("services":[{"name":"s"},{"name":"t"},{"name":"s"}],)"
      R"("tenants":[{"name":"shop","apiKeys":["k"],"guaranteed":{"gpu":8},"maxCount":{"gpu":0}}]})");
  cr_assert(reading.rejections.empty());
  cr_assert(reading.adjustments.empty());
  const std::vector<ServiceId> listed = {ServiceId("s"), ServiceId("t"), ServiceId("s")};
  cr_assert(reading.listed_services == listed);
  cr_assert_eq(reading.manifest.services.size(), 2);
  cr_assert_eq(reading.manifest.workspaces[0].guaranteed.value(), 8);
}

// The decoder said which type it wanted, but neither of which field nor of which entry.
Test(manifest_reader, rejected_field_is_reported_with_its_place) {
  AssertRejected(R"({"routes":[]})", "version", "'version' not found");
  AssertRejected(R"({"version":-1,"routes":[]})", "version", "whole one from 0");
  AssertRejected(R"({"version":1})", "routes", "'routes' not found");
  AssertRejected(R"({"version":1,"routes":7})", "routes[0].name", "number");
  AssertRejected(R"({"version":1,"routes":[{"host":"h"}]})", "routes[0].name", "not found");
  AssertRejected(ManifestWith(R"("priority":"high")"), "routes[0].priority", "must be number");
  AssertRejected(ManifestWith(R"("public":1)"), "routes[0].public", "must be boolean");
  AssertRejected(ManifestWith("", R"({"name":"t"})"), "tenants[0].apiKeys", "not found");
  AssertRejected(ManifestWith("", R"({"name":"t","apiKeys":["k",7]})"), "tenants[0].apiKeys",
                 "must be string");
  AssertRejected(ManifestWith("", R"({"name":"t","apiKeys":[],"maxCount":{"gpu":"all"}})"),
                 "tenants[0].maxCount.gpu", "must be number");
  AssertRejected(ManifestWith("", R"({"name":"t","apiKeys":[],"guaranteed":8})"),
                 "tenants[0].guaranteed.gpu", "number");
}

Test(manifest_reader, all_rejected_entries_are_reported) {
  const ManifestReading reading =
      ReadManifest(std::string(R"({"version":"3","routes":[{"name":1},)") + kQueue +
                   R"(}],"services":[{"name":2}],"tenants":[{},7]})");
  cr_assert_eq(reading.rejections.size(), 5);
  cr_assert_eq(reading.rejections[1].entry, "routes[0].name");
  cr_assert_eq(reading.rejections[2].entry, "services[0].name");
  cr_assert_eq(reading.rejections[4].entry, "tenants[1].name");
  cr_assert_eq(reading.manifest.queues.size(), 1);
}

// Operators saw neither that a bound of 0 attempts took effect as 1 nor that a quota was cut.
Test(manifest_reader, number_that_takes_effect_as_another_is_reported_with_its_place) {
  AssertAdjusted(ManifestWith(R"("maxAttempts":0)"), "routes[0].maxAttempts",
                 "0 is not allowed; 1");
  AssertAdjusted(ManifestWith(R"("maxAttempts":2.5)"), "routes[0].maxAttempts", "2 takes effect");
  AssertAdjusted(ManifestWith(R"("priority":-1)"), "routes[0].priority", "0 takes effect");
  AssertAdjusted(ManifestWith(R"("slackFactor":-2)"), "routes[0].slackFactor", "0 takes effect");
  AssertAdjusted(ManifestWith(R"("targetLatencyMs":-250)"), "routes[0].targetLatencyMs", "-250");
  AssertAdjusted(ManifestWith("", R"({"name":"t","apiKeys":[],"guaranteed":{"gpu":-8}})"),
                 "tenants[0].guaranteed.gpu", "0 takes effect");
  AssertAdjusted(ManifestWith("", R"({"name":"t","apiKeys":[],"maxCount":{"memMb":1e300}})"),
                 "tenants[0].maxCount.memMb", "takes effect");
  AssertAdjusted(ManifestWith("", R"({"name":"t","apiKeys":[],"weight":-1})"), "tenants[0].weight",
                 "0 takes effect");
  AssertAdjusted(R"({"version":1,"routes":[],"services":["s"]})", "services[0]", "ignored");
}

Test(manifest_reader, text_that_is_not_json_is_reported_with_line_and_column) {
  AssertRejected("", "line 1, column 1", "not JSON");
  AssertRejected("{\"version\": 1,\n  \"routes\": [}\n", "line 2, column 14", "not JSON");
  AssertRejected("[]", "file", "not a JSON object");
  AssertRejected(R"({"version":1e999,"routes":[]})", "file", "too large");
  AssertRejected(std::string(100'000, '[') + std::string(100'000, ']'), "file", "too deep");
}

// The JSON library repeats the token before the error, which can be a workspace's key.
Test(manifest_reader, syntax_error_after_a_key_does_not_print_it) {
  const std::string text = ManifestWith("", R"({"name":"t","apiKeys":["secret" "secret2"]})");
  for (const ConfigFinding& finding : ReadManifest(text).rejections) {
    cr_expect(finding.message.find("secret") == std::string::npos);
    cr_expect(finding.entry.find("secret") == std::string::npos);
  }
  cr_assert_eq(ReadManifest(text).rejections.size(), 1);
}

}  // namespace papayalift::platform
