/// Snapshot of the fleet's records as one node knows them at one revision.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "libraries/model/bundle.h"
#include "libraries/model/job_record.h"
#include "libraries/model/node_record.h"
#include "libraries/model/placement_record.h"
#include "libraries/model/zone_table.h"
#include "libraries/node/versioned.h"

namespace papayalift {

template <typename T>
using SharedRecord = std::shared_ptr<const Versioned<T>>;

struct BundleInForce {
  BundleVersion version;
  Bundle bundle;
};

struct FleetView {
  /// Null before the first roll.
  std::shared_ptr<const BundleInForce> bundle;
  Revision current_bundle_modified;
  /// The version named by the record `bundle-current`; 0 before the first roll. Higher than that of
  /// `bundle` until the rolled bundle has been read.
  BundleVersion rolled_version;
  Versioned<ZoneTable> zones;
  std::map<JobId, SharedRecord<JobRecord>> jobs;
  std::map<JobId, SharedRecord<PlacementRecord>> placements;
  std::map<ZoneId, Revision> ledgers;
  std::map<NodeId, SharedRecord<NodeRecord>> nodes;
  /// The revision that this view reflects.
  Revision revision;
};

}  // namespace papayalift
