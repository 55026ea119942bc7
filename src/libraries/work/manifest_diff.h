/// Compares two manifests entry by entry.
#pragma once

#include <string>
#include <vector>

#include "libraries/work/fleet_manifest.h"

namespace papayalift {

enum class ManifestChange { kAdded, kRemoved, kChanged };

/// A field that differs. Of keys only the numbers are given.
struct FieldDifference {
  std::string field;
  std::string before;
  std::string after;

  bool operator==(const FieldDifference&) const = default;
};

struct ManifestDifference {
  ManifestChange change = ManifestChange::kChanged;
  /// "queue", "service" or "workspace".
  std::string kind;
  std::string name;
  /// Empty unless the entry has changed.
  std::vector<FieldDifference> fields;

  bool operator==(const ManifestDifference&) const = default;
};

/// Queues, services and workspaces by name; of each kind first what was added or changed, then what
/// was removed, in the order of names. Of several entries with one
/// name, the first counts. The order of entries and the version are not compared. Takes O(n log n)
/// for n entries and keys.
std::vector<ManifestDifference> DiffManifests(const FleetManifest& before,
                                              const FleetManifest& after);

}  // namespace papayalift
