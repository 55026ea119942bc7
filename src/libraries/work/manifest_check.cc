#include "libraries/work/manifest_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace papayalift {

namespace {

class FaultFinder {
 public:
  FaultFinder(const FleetManifest& manifest, const ManifestCheckContext& context)
      : m_manifest(manifest), m_context(context) {}

  std::vector<ConfigFinding> Find() {
    CheckVersion();
    CheckQueueNames();
    CheckQueuePaths();
    CheckQueueAddresses();
    CheckQueueKeys();
    CheckQueueServices();
    CheckListedServices();
    CheckWorkspaceNames();
    CheckWorkspaceKeys();
    CheckSharedKeys();
    CheckGuarantees();
    CheckCapacity();
    return std::move(m_findings);
  }

 private:
  void Add(FindingSeverity severity, std::string entry, std::string message) {
    m_findings.push_back(ConfigFinding{severity, std::move(entry), std::move(message)});
  }

  void AddError(std::string entry, std::string message) {
    Add(FindingSeverity::kError, std::move(entry), std::move(message));
  }

  void AddWarning(std::string entry, std::string message) {
    Add(FindingSeverity::kWarning, std::move(entry), std::move(message));
  }

  static std::string EntryOf(const QueueSpec& queue) {
    return fmt::format("queue '{}'", queue.id.text());
  }

  static std::string EntryOf(const ManifestWorkspace& workspace) {
    return fmt::format("workspace '{}'", workspace.id.text());
  }

  static std::string EntryOf(const ServiceId& service) {
    return fmt::format("service '{}'", service.text());
  }

  void CheckVersion() {
    if (m_context.version_in_force.has_value() &&
        m_manifest.version <= *m_context.version_in_force) {
      AddError("version",
               fmt::format("{} is not above {}, the version in force", m_manifest.version.value(),
                           m_context.version_in_force->value()));
    }
  }

  void CheckQueueNames() {
    std::set<QueueId> names;
    for (const QueueSpec& queue : m_manifest.queues) {
      if (!names.insert(queue.id).second) {
        AddError(EntryOf(queue), "an earlier queue has the same name");
      }
    }
  }

  /// FindQueueByPath() returns the first of the queues with the same host and prefix.
  void CheckQueuePaths() {
    // Host and path prefix.
    using Address = std::pair<std::string_view, std::string_view>;
    std::map<Address, const QueueSpec*> first;
    for (const QueueSpec& queue : m_manifest.queues) {
      const Address address(queue.host, queue.path_prefix);
      const auto [found, is_new] = first.try_emplace(address, &queue);
      if (!is_new) {
        AddError(EntryOf(queue),
                 fmt::format("never matches: the earlier {} has the same host and path prefix",
                             EntryOf(*found->second)));
      }
    }
  }

  /// A request's host is compared without its port, and its path starts with a slash.
  void CheckQueueAddresses() {
    for (const QueueSpec& queue : m_manifest.queues) {
      if (queue.host.find(':') != std::string::npos) {
        AddError(EntryOf(queue), "never matches: the host contains a colon");
      }
      if (!queue.path_prefix.empty() && queue.path_prefix.front() != '/') {
        AddError(EntryOf(queue), "never matches: the path prefix does not start with '/'");
      }
    }
  }

  void CheckQueueKeys() {
    const bool has_key =
        std::any_of(m_manifest.workspaces.begin(), m_manifest.workspaces.end(),
                    [](const ManifestWorkspace& workspace) { return !workspace.keys.empty(); });
    if (has_key) {
      return;
    }
    for (const QueueSpec& queue : m_manifest.queues) {
      if (queue.needs_key) {
        AddError(EntryOf(queue), "needs a key, but no workspace has one");
      }
    }
  }

  void CheckQueueServices() {
    if (m_context.listed_services.empty()) {
      return;
    }
    const std::set<ServiceId> listed(m_context.listed_services.begin(),
                                     m_context.listed_services.end());
    for (const QueueSpec& queue : m_manifest.queues) {
      if (!listed.contains(queue.service)) {
        AddWarning(EntryOf(queue),
                   fmt::format("{} is not among the listed services", EntryOf(queue.service)));
      }
    }
  }

  void CheckListedServices() {
    std::set<ServiceId> used;
    for (const QueueSpec& queue : m_manifest.queues) {
      used.insert(queue.service);
    }
    std::set<ServiceId> listed;
    for (const ServiceId& service : m_context.listed_services) {
      if (!listed.insert(service).second) {
        AddWarning(EntryOf(service), "is listed more than once");
      } else if (!used.contains(service)) {
        AddWarning(EntryOf(service), "no queue uses it");
      }
    }
  }

  void CheckWorkspaceNames() {
    std::set<WorkspaceId> names;
    for (const ManifestWorkspace& workspace : m_manifest.workspaces) {
      if (!names.insert(workspace.id).second) {
        AddError(EntryOf(workspace), "an earlier workspace has the same name");
      }
    }
  }

  void CheckWorkspaceKeys() {
    for (const ManifestWorkspace& workspace : m_manifest.workspaces) {
      if (workspace.keys.empty()) {
        AddWarning(EntryOf(workspace), "has no keys: no call is ever its own");
      }
      if (workspace.keys.contains("")) {
        AddWarning(EntryOf(workspace), "has an empty key: calls without a key are its own");
      }
    }
  }

  /// FindWorkspaceByKey() returns the first workspace that has the key.
  void CheckSharedKeys() {
    std::map<std::string_view, const ManifestWorkspace*> holders;
    for (const ManifestWorkspace& workspace : m_manifest.workspaces) {
      std::map<const ManifestWorkspace*, int> shared;
      for (const std::string& key : workspace.keys) {
        const auto [holder, is_new] = holders.try_emplace(key, &workspace);
        if (!is_new) {
          ++shared[holder->second];
        }
      }
      AddSharedKeys(workspace, shared);
    }
  }

  void AddSharedKeys(const ManifestWorkspace& workspace,
                     const std::map<const ManifestWorkspace*, int>& shared) {
    for (const auto& [holder, count] : shared) {
      AddError(EntryOf(workspace),
               fmt::format("shares {} with the earlier {}, to "
                           "which such calls are assigned",
                           count == 1 ? "a key" : fmt::format("{} keys", count), EntryOf(*holder)));
    }
  }

  void CheckGuarantees() {
    for (const ManifestWorkspace& workspace : m_manifest.workspaces) {
      const std::int64_t guaranteed = workspace.guaranteed.value();
      if (workspace.quota.accelerators > 0 && guaranteed > workspace.quota.accelerators) {
        AddError(EntryOf(workspace),
                 fmt::format("{} accelerators are guaranteed, but its quota is {}", guaranteed,
                             workspace.quota.accelerators));
      }
    }
  }

  void CheckCapacity() {
    if (!m_context.capacity.has_value()) {
      return;
    }
    std::int64_t guaranteed = 0;
    for (const ManifestWorkspace& workspace : m_manifest.workspaces) {
      guaranteed += workspace.guaranteed.value();
    }
    if (guaranteed > m_context.capacity->value()) {
      AddError("workspaces",
               fmt::format("{} accelerators are guaranteed together, but the capacity is {}",
                           guaranteed, m_context.capacity->value()));
    }
  }

  const FleetManifest& m_manifest;
  const ManifestCheckContext& m_context;
  std::vector<ConfigFinding> m_findings;
};

}  // namespace

std::vector<ConfigFinding> FindManifestFaults(const FleetManifest& manifest,
                                              const ManifestCheckContext& context) {
  return FaultFinder(manifest, context).Find();
}

}  // namespace papayalift
