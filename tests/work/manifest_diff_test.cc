#include "libraries/work/manifest_diff.h"

#include <criterion/criterion.h>

namespace papayalift {

namespace {

QueueSpec Queue(const std::string& name) {
  QueueSpec queue;
  queue.id = QueueId(name);
  queue.host = "h";
  queue.path_prefix = "/" + name + "/";
  queue.service = ServiceId("pool");
  return queue;
}

ManifestWorkspace Workspace(const std::string& name, std::set<std::string> keys) {
  ManifestWorkspace workspace;
  workspace.id = WorkspaceId(name);
  workspace.keys = std::move(keys);
  return workspace;
}

FleetManifest Manifest() {
  FleetManifest manifest;
  manifest.version = ManifestVersion(1);
  manifest.queues = {Queue("a"), Queue("b")};
  manifest.workspaces = {Workspace("shop", {"secret-1", "secret-2"})};
  manifest.services = {ServiceId("pool")};
  return manifest;
}

using Fields = std::vector<FieldDifference>;

Fields OneField(const std::string& name, const std::string& before, const std::string& after) {
  return {FieldDifference{name, before, after}};
}

/// The fields that differ after `change` was made to the first queue.
template <typename Change>
Fields FieldsOfChangedQueue(const Change& change) {
  FleetManifest after = Manifest();
  change(after.queues[0]);
  const std::vector<ManifestDifference> differences = DiffManifests(Manifest(), after);
  cr_assert_eq(differences.size(), 1);
  cr_assert(differences[0].change == ManifestChange::kChanged);
  cr_assert_eq(differences[0].kind, "queue");
  cr_assert_eq(differences[0].name, "a");
  return differences[0].fields;
}

/// The same for the first workspace.
template <typename Change>
Fields FieldsOfChangedWorkspace(const Change& change) {
  FleetManifest after = Manifest();
  change(after.workspaces[0]);
  const std::vector<ManifestDifference> differences = DiffManifests(Manifest(), after);
  cr_assert_eq(differences.size(), 1);
  cr_assert_eq(differences[0].kind, "workspace");
  return differences[0].fields;
}

}  // namespace

Test(manifest_diff, equal_entries_in_another_order_do_not_differ) {
  FleetManifest after = Manifest();
  std::swap(after.queues[0], after.queues[1]);
  after.version = ManifestVersion(2);
  cr_assert(DiffManifests(Manifest(), after).empty());
}

Test(manifest_diff, entries_of_one_side_are_added_or_removed) {
  FleetManifest after = Manifest();
  after.queues[1] = Queue("c");
  after.workspaces.push_back(Workspace("mill", {}));
  after.services = {ServiceId("pond")};
  const std::vector<ManifestDifference> expected = {
      {ManifestChange::kAdded, "queue", "c", {}},
      {ManifestChange::kRemoved, "queue", "b", {}},
      {ManifestChange::kAdded, "service", "pond", {}},
      {ManifestChange::kRemoved, "service", "pool", {}},
      {ManifestChange::kAdded, "workspace", "mill", {}}};
  cr_assert(DiffManifests(Manifest(), after) == expected);
}

// A field that is not in the table of fields would change without being reported.
Test(manifest_diff, each_field_of_a_queue_is_compared) {
  cr_expect(FieldsOfChangedQueue([](QueueSpec& queue) { queue.host = "h2"; }) ==
            OneField("host", "h", "h2"));
  cr_expect(FieldsOfChangedQueue([](QueueSpec& queue) { queue.path_prefix = "/"; }) ==
            OneField("path prefix", "/a/", "/"));
  cr_expect(FieldsOfChangedQueue([](QueueSpec& queue) { queue.service = ServiceId("s"); }) ==
            OneField("service", "pool", "s"));
  cr_expect(FieldsOfChangedQueue([](QueueSpec& queue) { queue.priority = Priority(2); }) ==
            OneField("priority", "0", "2"));
  cr_expect(FieldsOfChangedQueue([](QueueSpec& queue) { queue.max_attempts = 3; }) ==
            OneField("attempts", "1", "3"));
  cr_expect_eq(FieldsOfChangedQueue([](QueueSpec& queue) { queue.slack_factor = 1.5; }).size(), 1);
  cr_expect(FieldsOfChangedQueue([](QueueSpec& queue) {
              queue.latency_target = Milliseconds(250);
            }) == OneField("latency target in ms", "0", "250"));
  cr_expect(FieldsOfChangedQueue([](QueueSpec& queue) { queue.needs_key = false; }) ==
            OneField("needs a key", "true", "false"));
  cr_expect(FieldsOfChangedQueue([](QueueSpec& queue) {
              queue.requires_external_placement = true;
            }) == OneField("external placement", "false", "true"));
}

Test(manifest_diff, each_field_of_a_workspace_is_compared) {
  cr_expect(FieldsOfChangedWorkspace([](ManifestWorkspace& workspace) {
              workspace.guaranteed = AcceleratorCount(8);
            }) == OneField("guaranteed accelerators", "0", "8"));
  const Fields quota = {{"quota of cpu in thousandths of a core", "0", "1"},
                        {"quota of memory in MB", "0", "2"},
                        {"quota of accelerators", "0", "3"}};
  cr_expect(FieldsOfChangedWorkspace([](ManifestWorkspace& workspace) {
              workspace.quota = Resources{1, 2, 3};
            }) == quota);
  cr_expect_eq(
      FieldsOfChangedWorkspace([](ManifestWorkspace& workspace) { workspace.weight = 2; }).size(),
      1);
}

Test(manifest_diff, changed_keys_are_counted_and_not_printed) {
  const Fields fields = FieldsOfChangedWorkspace([](ManifestWorkspace& workspace) {
    workspace.keys = {"secret-2", "secret-3", "secret-4"};
  });
  cr_assert(fields == OneField("keys", "2", "3 (2 added, 1 removed)"));
}

// Comparing each entry with each other would take minutes.
Test(manifest_diff, large_manifests_are_compared_in_time, .timeout = 60) {
  constexpr int kEntries = 100'000;
  FleetManifest before;
  for (int index = 0; index < kEntries; ++index) {
    before.queues.push_back(Queue(std::to_string(index)));
  }
  FleetManifest after = before;
  after.queues.back().max_attempts = 2;
  cr_assert_eq(DiffManifests(before, after).size(), 1);
}

}  // namespace papayalift
