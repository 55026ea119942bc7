#include "libraries/work/manifest_check.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace papayalift {

namespace {

QueueSpec Queue(const std::string& name, const std::string& host, const std::string& prefix) {
  QueueSpec queue;
  queue.id = QueueId(name);
  queue.host = host;
  queue.path_prefix = prefix;
  queue.service = ServiceId("pool");
  return queue;
}

ManifestWorkspace Workspace(const std::string& name, std::set<std::string> keys) {
  ManifestWorkspace workspace;
  workspace.id = WorkspaceId(name);
  workspace.keys = std::move(keys);
  return workspace;
}

/// Without faults: two queues of one host and a workspace with a key.
FleetManifest GoodManifest() {
  FleetManifest manifest;
  manifest.version = ManifestVersion(8);
  manifest.queues = {Queue("a", "h", "/a/"), Queue("a-urgent", "h", "/a/urgent/")};
  manifest.workspaces = {Workspace("shop", {"key-1"})};
  manifest.services = {ServiceId("pool")};
  return manifest;
}

void AssertOnly(const std::vector<ConfigFinding>& findings, FindingSeverity severity,
                const std::string& entry, const std::string& part) {
  cr_assert_eq(findings.size(), 1, "%zu findings", findings.size());
  cr_expect(findings[0].severity == severity);
  cr_expect_eq(findings[0].entry, entry, "%s", findings[0].entry.c_str());
  cr_expect(findings[0].message.find(part) != std::string::npos, "%s", findings[0].message.c_str());
}

void AssertOnlyError(const FleetManifest& manifest, const std::string& entry,
                     const std::string& part, const ManifestCheckContext& context = {}) {
  AssertOnly(FindManifestFaults(manifest, context), FindingSeverity::kError, entry, part);
}

void AssertOnlyWarning(const FleetManifest& manifest, const std::string& entry,
                       const std::string& part, const ManifestCheckContext& context = {}) {
  AssertOnly(FindManifestFaults(manifest, context), FindingSeverity::kWarning, entry, part);
}

}  // namespace

Test(manifest_check, consistent_manifest_has_no_findings) {
  ManifestCheckContext context;
  context.listed_services = {ServiceId("pool")};
  context.version_in_force = ManifestVersion(7);
  context.capacity = AcceleratorCount(0);
  cr_assert(FindManifestFaults(GoodManifest(), context).empty());
  cr_assert(FindManifestFaults(FleetManifest(), ManifestCheckContext()).empty());
}

// Nodes ignore a lower version, and nothing tells two manifests of one version apart.
Test(manifest_check, version_not_above_the_one_in_force_is_an_error) {
  ManifestCheckContext context;
  context.version_in_force = ManifestVersion(8);
  AssertOnlyError(GoodManifest(), "version", "8 is not above 8", context);
  context.version_in_force = ManifestVersion(9);
  AssertOnlyError(GoodManifest(), "version", "8 is not above 9", context);
}

// The later queue's callers got the earlier one's priority and service.
Test(manifest_check, queue_with_host_and_prefix_of_an_earlier_one_never_matches) {
  FleetManifest manifest = GoodManifest();
  manifest.queues.push_back(Queue("late", "h", "/a/"));
  cr_assert(manifest.FindQueueByPath("h", "/a/x")->id == QueueId("a"));
  AssertOnlyError(manifest, "queue 'late'", "queue 'a' has the same host and path prefix");
}

Test(manifest_check, queue_with_the_prefix_of_another_host_matches) {
  FleetManifest manifest = GoodManifest();
  manifest.queues.push_back(Queue("other", "h2", "/a/"));
  cr_assert(FindManifestFaults(manifest, {}).empty());
}

Test(manifest_check, queue_whose_address_no_request_has_never_matches) {
  FleetManifest manifest = GoodManifest();
  manifest.queues[0].host = "h:80";
  AssertOnlyError(manifest, "queue 'a'", "colon");
  manifest = GoodManifest();
  manifest.queues[0].path_prefix = "a/";
  AssertOnlyError(manifest, "queue 'a'", "does not start with '/'");
}

Test(manifest_check, duplicate_names_are_errors) {
  FleetManifest manifest = GoodManifest();
  manifest.queues.push_back(Queue("a", "h2", "/"));
  AssertOnlyError(manifest, "queue 'a'", "same name");
  manifest = GoodManifest();
  manifest.workspaces.push_back(Workspace("shop", {"key-2"}));
  AssertOnlyError(manifest, "workspace 'shop'", "same name");
}

Test(manifest_check, workspace_without_usable_keys_is_a_warning) {
  FleetManifest manifest = GoodManifest();
  manifest.workspaces.push_back(Workspace("idle", {}));
  AssertOnlyWarning(manifest, "workspace 'idle'", "no keys");
  manifest = GoodManifest();
  manifest.workspaces[0].keys.insert("");
  AssertOnlyWarning(manifest, "workspace 'shop'", "empty key");
}

// Calls with the key counted against the first workspace's quota and guarantee.
Test(manifest_check, key_held_by_two_workspaces_is_an_error_that_does_not_print_it) {
  FleetManifest manifest = GoodManifest();
  manifest.workspaces.push_back(Workspace("copy", {"key-1", "key-2"}));
  AssertOnlyError(manifest, "workspace 'copy'", "shares a key with the earlier workspace 'shop'");
  const std::vector<ConfigFinding> findings = FindManifestFaults(manifest, {});
  cr_assert(findings[0].message.find("key-") == std::string::npos);
}

Test(manifest_check, queue_that_needs_a_key_is_an_error_if_no_workspace_has_one) {
  FleetManifest manifest = GoodManifest();
  manifest.workspaces.clear();
  manifest.queues[0].needs_key = false;
  AssertOnlyError(manifest, "queue 'a-urgent'", "needs a key");
}

Test(manifest_check, queue_of_a_service_that_is_not_listed_is_a_warning) {
  FleetManifest manifest = GoodManifest();
  manifest.queues[1].service = ServiceId("pol");
  ManifestCheckContext context;
  cr_assert(FindManifestFaults(manifest, context).empty());
  context.listed_services = {ServiceId("pool")};
  AssertOnlyWarning(manifest, "queue 'a-urgent'", "service 'pol' is not among", context);
}

Test(manifest_check, listed_service_that_is_unused_or_repeated_is_a_warning) {
  ManifestCheckContext context;
  context.listed_services = {ServiceId("pool"), ServiceId("spare")};
  AssertOnlyWarning(GoodManifest(), "service 'spare'", "no queue", context);
  context.listed_services = {ServiceId("pool"), ServiceId("pool")};
  AssertOnlyWarning(GoodManifest(), "service 'pool'", "more than once", context);
}

Test(manifest_check, guarantee_above_the_quota_is_an_error) {
  FleetManifest manifest = GoodManifest();
  manifest.workspaces[0].guaranteed = AcceleratorCount(9);
  manifest.workspaces[0].quota.accelerators = 8;
  AssertOnlyError(manifest, "workspace 'shop'", "9 accelerators are guaranteed");
  manifest.workspaces[0].quota.accelerators = 9;
  cr_assert(FindManifestFaults(manifest, {}).empty());
  // 0 is no limit.
  manifest.workspaces[0].quota = Resources{1000, 0, 0};
  cr_assert(FindManifestFaults(manifest, {}).empty());
}

// Each guarantee can be valid by itself while the fleet can't honor all of them at once.
Test(manifest_check, guarantees_above_the_capacity_together_are_an_error) {
  constexpr int kLargestCount = 1'000'000'000;
  FleetManifest manifest = GoodManifest();
  manifest.workspaces = {Workspace("w1", {"k1"}), Workspace("w2", {"k2"}), Workspace("w3", {"k3"})};
  for (ManifestWorkspace& workspace : manifest.workspaces) {
    workspace.guaranteed = AcceleratorCount(kLargestCount);
  }
  ManifestCheckContext context;
  cr_assert(FindManifestFaults(manifest, context).empty());
  context.capacity = AcceleratorCount(2'000'000'000);
  AssertOnlyError(manifest, "workspaces", "3000000000 accelerators are guaranteed", context);
  manifest.workspaces.pop_back();
  cr_assert(FindManifestFaults(manifest, context).empty());
}

// Comparing each entry with each other would take minutes.
Test(manifest_check, large_manifest_is_checked_in_time, .timeout = 60) {
  constexpr int kEntries = 100'000;
  FleetManifest manifest;
  for (int index = 0; index < kEntries; ++index) {
    const std::string text = std::to_string(index);
    manifest.queues.push_back(Queue("q" + text, "host.example.org", "/prefix/" + text));
    manifest.workspaces.push_back(Workspace("w" + text, {"key-" + text}));
  }
  manifest.queues.push_back(Queue("last", "host.example.org", "/prefix/0"));
  AssertOnlyError(manifest, "queue 'last'", "queue 'q0'");
}

}  // namespace papayalift
