#include "libraries/model/bundle_file.h"

#include <criterion/criterion.h>

#include <string>

namespace papayalift {

namespace {

constexpr char kZone[] = "[[zone]]\nname = \"a\"\n";
constexpr char kWorkspace[] = "[[workspace]]\nname = \"team\"\nquota = 16\n";
constexpr char kGuarantee[] =
    "[[workspace.guarantee]]\ntasks = 2\naccelerators_per_task = 4\ncount = 2\n";

std::string ErrorsOf(const std::string& text) {
  return std::string(ParseBundle(text, "bundle.toml").status().message());
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string Worker(const std::string& name, const std::string& zone) {
  return "[[worker]]\nname = \"" + name + "\"\nzone = \"" + zone +
         "\"\nrack = \"r\"\naddress = \"127.0.0.1:1\"\naccelerators = 8\n";
}

}  // namespace

Test(bundle_file, complete_bundle_is_parsed) {
  const absl::StatusOr<Bundle> bundle =
      ParseBundle(std::string(kZone) + kWorkspace + kGuarantee + Worker("w", "a"), "bundle.toml");
  cr_assert(bundle.ok());
  const WorkspaceSpec* const workspace = bundle->FindWorkspace(WorkspaceId("team"));
  cr_assert(workspace != nullptr);
  cr_assert(workspace->guarantees.front().shape.Total() == AcceleratorCount(8));
  cr_assert(bundle->FindWorker(WorkerId("w"))->accelerators == AcceleratorCount(8));
}

Test(bundle_file, worker_in_undeclared_zone_is_rejected) {
  const std::string errors = ErrorsOf(std::string(kZone) + kWorkspace + Worker("w", "b"));
  cr_assert(Contains(errors, "'w' names the zone 'b', which no [[zone]] declares"));
}

Test(bundle_file, duplicate_name_is_rejected) {
  const std::string errors =
      ErrorsOf(std::string(kZone) + kWorkspace + Worker("w", "a") + Worker("w", "a"));
  cr_assert(Contains(errors, "'w' is declared twice"));
}

Test(bundle_file, quota_below_guarantees_is_rejected) {
  const std::string text = std::string(kZone) + "[[workspace]]\nname = \"team\"\nquota = 15\n";
  cr_assert(
      Contains(ErrorsOf(text + kGuarantee), "is 15, less than the 16 accelerators guaranteed"));
}

Test(bundle_file, several_errors_are_all_reported_with_their_lines) {
  const std::string errors =
      ErrorsOf("[[zone]]\nname = \"a\"\nsize = 3\n[[workspace]]\nname = \"team\"\nquota = -1\n");
  cr_assert(Contains(errors, "bundle.toml:3: zone.size: is unknown here"));
  cr_assert(Contains(errors, "bundle.toml:6: workspace.quota"));
}

Test(bundle_file, empty_text_reports_required_sections) {
  const std::string errors = ErrorsOf("");
  cr_assert(Contains(errors, "[[zone]]"));
  cr_assert(Contains(errors, "[[workspace]]"));
}

}  // namespace papayalift
