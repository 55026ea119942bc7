#include "libraries/work/manifest_diff.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <string_view>

namespace papayalift {

namespace {

template <typename Entry>
struct EntryField {
  std::string_view name;
  std::string (*text)(const Entry& entry);
};

constexpr std::array<EntryField<QueueSpec>, 9> kQueueFields{{
    {"host", [](const QueueSpec& queue) { return queue.host; }},
    {"path prefix", [](const QueueSpec& queue) { return queue.path_prefix; }},
    {"service", [](const QueueSpec& queue) { return queue.service.text(); }},
    {"priority", [](const QueueSpec& queue) { return fmt::to_string(queue.priority.value()); }},
    {"attempts", [](const QueueSpec& queue) { return fmt::to_string(queue.max_attempts); }},
    {"slack factor", [](const QueueSpec& queue) { return fmt::to_string(queue.slack_factor); }},
    {"latency target in ms",
     [](const QueueSpec& queue) { return fmt::to_string(queue.latency_target.count()); }},
    {"needs a key", [](const QueueSpec& queue) { return fmt::to_string(queue.needs_key); }},
    {"external placement",
     [](const QueueSpec& queue) { return fmt::to_string(queue.requires_external_placement); }},
}};

constexpr std::array<EntryField<ManifestWorkspace>, 5> kWorkspaceFields{{
    {"guaranteed accelerators",
     [](const ManifestWorkspace& workspace) {
       return fmt::to_string(workspace.guaranteed.value());
     }},
    {"quota of cpu in thousandths of a core",
     [](const ManifestWorkspace& workspace) { return fmt::to_string(workspace.quota.cpu_milli); }},
    {"quota of memory in MB",
     [](const ManifestWorkspace& workspace) { return fmt::to_string(workspace.quota.memory_mb); }},
    {"quota of accelerators",
     [](const ManifestWorkspace& workspace) {
       return fmt::to_string(workspace.quota.accelerators);
     }},
    {"weight", [](const ManifestWorkspace& workspace) { return fmt::to_string(workspace.weight); }},
}};

template <typename Entry, std::size_t kSize>
std::vector<FieldDifference> DiffFields(const std::array<EntryField<Entry>, kSize>& fields,
                                        const Entry& before, const Entry& after) {
  std::vector<FieldDifference> differences;
  for (const EntryField<Entry>& field : fields) {
    const std::string old_text = field.text(before);
    const std::string new_text = field.text(after);
    if (old_text != new_text) {
      differences.push_back(FieldDifference{std::string(field.name), old_text, new_text});
    }
  }
  return differences;
}

std::vector<FieldDifference> DiffEntry(const QueueSpec& before, const QueueSpec& after) {
  return DiffFields(kQueueFields, before, after);
}

/// How many keys of `from` are not in `others`.
std::int64_t CountKeysNotIn(const std::set<std::string>& from,
                            const std::set<std::string>& others) {
  return std::count_if(from.begin(), from.end(),
                       [&others](const std::string& key) { return !others.contains(key); });
}

std::vector<FieldDifference> DiffEntry(const ManifestWorkspace& before,
                                       const ManifestWorkspace& after) {
  std::vector<FieldDifference> differences = DiffFields(kWorkspaceFields, before, after);
  if (before.keys != after.keys) {
    const std::string counts = fmt::format("{} ({} added, {} removed)", after.keys.size(),
                                           CountKeysNotIn(after.keys, before.keys),
                                           CountKeysNotIn(before.keys, after.keys));
    differences.push_back(FieldDifference{"keys", fmt::to_string(before.keys.size()), counts});
  }
  return differences;
}

/// A service has no fields.
std::vector<FieldDifference> DiffEntry(const ServiceId& /*before*/, const ServiceId& /*after*/) {
  return {};
}

const std::string& NameOf(const QueueSpec& queue) { return queue.id.text(); }
const std::string& NameOf(const ManifestWorkspace& workspace) { return workspace.id.text(); }
const std::string& NameOf(const ServiceId& service) { return service.text(); }

template <typename Entries>
using EntriesByName = std::map<std::string_view, const typename Entries::value_type*>;

template <typename Entries>
EntriesByName<Entries> ByName(const Entries& entries) {
  EntriesByName<Entries> by_name;
  for (const typename Entries::value_type& entry : entries) {
    by_name.try_emplace(NameOf(entry), &entry);
  }
  return by_name;
}

template <typename Entries>
void DiffEntries(const std::string& kind, const Entries& before, const Entries& after,
                 std::vector<ManifestDifference>& differences) {
  const EntriesByName<Entries> old_entries = ByName(before);
  const EntriesByName<Entries> new_entries = ByName(after);
  for (const auto& [name, entry] : new_entries) {
    const auto old_entry = old_entries.find(name);
    if (old_entry == old_entries.end()) {
      differences.push_back({ManifestChange::kAdded, kind, std::string(name), {}});
      continue;
    }
    std::vector<FieldDifference> fields = DiffEntry(*old_entry->second, *entry);
    if (!fields.empty()) {
      differences.push_back({ManifestChange::kChanged, kind, std::string(name), std::move(fields)});
    }
  }
  for (const auto& [name, entry] : old_entries) {
    if (!new_entries.contains(name)) {
      differences.push_back({ManifestChange::kRemoved, kind, std::string(name), {}});
    }
  }
}

}  // namespace

std::vector<ManifestDifference> DiffManifests(const FleetManifest& before,
                                              const FleetManifest& after) {
  std::vector<ManifestDifference> differences;
  DiffEntries("queue", before.queues, after.queues, differences);
  DiffEntries("service", before.services, after.services, differences);
  DiffEntries("workspace", before.workspaces, after.workspaces, differences);
  return differences;
}

}  // namespace papayalift
