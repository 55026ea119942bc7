#include "libraries/settings/node_settings.h"

#include <criterion/criterion.h>

#include <string>

namespace papayalift {

namespace {

constexpr char kNodeSection[] =
    "[node]\nname = \"node-1\"\nzone = \"a\"\napi_address = \"127.0.0.1:1\"\n"
    "peer_address = \"127.0.0.1:2\"\n";
constexpr char kPlatformSection[] = "[platform]\nstore_address = \"127.0.0.1:3\"\n";

std::string ProblemsOf(const std::string& text) {
  return std::string(ParseNodeSettings(text, "node.toml").status().message());
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

Test(node_settings, complete_settings_are_read) {
  const absl::StatusOr<NodeSettings> settings =
      ParseNodeSettings(std::string(kNodeSection) + kPlatformSection, "node.toml");
  cr_assert(settings.ok());
  cr_assert(settings->zone == ZoneId("a"));
  cr_assert(settings->store_address == "127.0.0.1:3");
}

Test(node_settings, memory_and_body_rate_are_read) {
  const absl::StatusOr<NodeSettings> settings = ParseNodeSettings(
      std::string(kNodeSection) + "memory_mb = 160\nmin_body_rate = 700\n" + kPlatformSection,
      "node.toml");
  cr_assert(settings.ok());
  cr_assert_eq(settings->memory_megabytes, 160);
  cr_assert_eq(settings->min_body_rate, 700);
}

Test(node_settings, missing_keys_are_all_reported) {
  const std::string problems = ProblemsOf("");
  for (const char* const key : {"node.name", "node.zone", "node.api_address", "node.peer_address",
                                "platform.store_address"}) {
    cr_assert(Contains(problems, key), "%s is not reported", key);
  }
}

Test(node_settings, host_name_as_address_is_refused) {
  const std::string problems =
      ProblemsOf(std::string(kNodeSection) + "[platform]\nstore_address = \"store.example:1\"\n");
  cr_assert(Contains(problems, "platform.store_address: 'store.example:1' is not an address"));
}

Test(node_settings, duration_without_unit_is_refused) {
  const std::string problems =
      ProblemsOf(std::string(kNodeSection) + kPlatformSection + "[leases]\nrun_lease = 15\n");
  cr_assert(Contains(problems, "node.toml:9: leases.run_lease: must be a duration"));
}

Test(node_settings, view_plus_reservation_above_zone_out_delay_is_refused) {
  const std::string problems =
      ProblemsOf(std::string(kNodeSection) + kPlatformSection +
                 "[leases]\nview_limit = \"2s\"\nreservation_lease = \"1.5s\"\n");
  cr_assert(Contains(problems, "leases.view_limit: contradicts reservation_lease"));
}

Test(node_settings, renewal_interval_above_a_third_of_run_lease_is_refused) {
  const std::string problems =
      ProblemsOf(std::string(kNodeSection) + kPlatformSection +
                 "[leases]\nrun_lease = \"6s\"\nrenewal_interval = \"3s\"\n");
  cr_assert(Contains(problems, "leases.renewal_interval: contradicts run_lease"));
}

}  // namespace papayalift
