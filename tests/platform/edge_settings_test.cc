#include "platform/edge_settings.h"

#include <criterion/criterion.h>

namespace papayalift::platform {

namespace {

const char kCompleteFile[] = R"(
nodeName = "edge-1"
ip = "10.1.0.19"
zone = "casa"
firstStart = true
somethingNew = 7
heartbeatMs = 1200
[listen]
frontend = "10.1.0.19:8521"
ready = "10.1.0.19:8523"
[limits]
cpuShare = 0.25
maxFds = 8192
memoryMb = 160
bodyBytesPerS = 700
[bounds]
drainMs = 4000
graceS = 6.5
holdMaxMs = 9000
status_s = 100
remoteFactor = 2.5
[platform]
address = "10.200.1.7:8524"
ttlMinMs = 1500
writesPerS = 350
)";

std::string Without(const std::string& line) {
  std::string text = kCompleteFile;
  const std::size_t at = text.find(line);
  return text.replace(at, text.find('\n', at) - at, "");
}

}  // namespace

Test(edge_settings, complete_file_is_read) {
  const EdgeSettings settings = ParseEdgeSettings(kCompleteFile, "file").value();
  cr_assert_eq(settings.metrics_address, "10.1.0.19:7000");
  cr_assert_eq(settings.stop_grace.count(), 6'500);
  cr_assert_eq(settings.longest_lease.count(), 9'000);
  cr_assert_eq(settings.retention.count(), 100'000);
  cr_assert_eq(settings.shortest_store_lease.count(), 1'500);
  cr_assert_eq(settings.store_writes_per_second, 350);
  cr_assert_eq(settings.drain_bound.count(), 4'000);
  cr_assert_eq(settings.heartbeat_interval.count(), 1'200);
  cr_assert_eq(settings.max_descriptors, 8'192);
  cr_assert_eq(settings.memory_megabytes, 160);
  cr_assert_eq(settings.min_body_rate, 700);
  cr_assert_eq(settings.remote_factor, 2.5);
  cr_assert(settings.is_first_start);
}

Test(edge_settings, missing_bound_gets_its_default) {
  const EdgeSettings settings = ParseEdgeSettings(Without("holdMaxMs"), "file").value();
  cr_assert_eq(settings.longest_lease.count(), 10'000);
}

Test(edge_settings, missing_or_malformed_fields_are_named) {
  const absl::Status missing = ParseEdgeSettings(Without("nodeName"), "file").status();
  cr_assert(std::string(missing.message()).find("nodeName") != std::string::npos);
  const std::string malformed = Without("frontend") + "\n[listen2]\n";
  cr_assert_not(ParseEdgeSettings(malformed, "file").ok());
  std::string faster_elsewhere = kCompleteFile;
  faster_elsewhere.replace(faster_elsewhere.find("2.5"), 3, "0.5");
  cr_assert_not(ParseEdgeSettings(faster_elsewhere, "file").ok());
  cr_assert_not(ParseEdgeSettings("no toml [", "file").ok());
}

Test(edge_settings, changed_fields_are_named) {
  const EdgeSettings before = ParseEdgeSettings(kCompleteFile, "file").value();
  EdgeSettings after = before;
  after.longest_lease = Milliseconds(5'000);
  cr_assert(ChangedFields(before, after) == std::vector<std::string>{"longest_lease"});
}

}  // namespace papayalift::platform
