/// Finds entries of a manifest that contradict each other or can never take effect.
#pragma once

#include <optional>
#include <vector>

#include "libraries/work/config_finding.h"
#include "libraries/work/fleet_manifest.h"

namespace papayalift {

/// What is known beside the manifest; a check is left out if what it needs is not known.
struct ManifestCheckContext {
  /// The services that the manifest lists by themselves, as often as it lists them.
  std::vector<ServiceId> listed_services;
  std::optional<ManifestVersion> version_in_force;
  /// The accelerators of the whole fleet.
  std::optional<AcceleratorCount> capacity;
};

/// In the order of the manifest: the version, queues, services, workspaces. Takes O(n log n) for n
/// entries and keys.
std::vector<ConfigFinding> FindManifestFaults(const FleetManifest& manifest,
                                              const ManifestCheckContext& context);

}  // namespace papayalift
