/// Keys of the records in the key-value service.
#pragma once

#include <string>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift::keys {

/// Prefix of all records but bundles and the audit trail.
inline constexpr char kRoot[] = "papayalift/";
inline constexpr char kZones[] = "papayalift/zones";
inline constexpr char kCurrentBundle[] = "papayalift/bundle-current";
/// NOTE: outside kRoot, like kAudit: bundles are large, and a node reads only the one in force.
inline constexpr char kBundles[] = "papayalift-bundle/";
inline constexpr char kJobs[] = "papayalift/job/";
inline constexpr char kLedgers[] = "papayalift/ledger/";
inline constexpr char kPlacements[] = "papayalift/placement/";
inline constexpr char kNodes[] = "papayalift/node/";
/// NOTE: outside kRoot, so that the nodes' watches do not deliver the audit trail.
inline constexpr char kAudit[] = "papayalift-audit/";

std::string BundleKey(BundleVersion version);
std::string JobKey(const JobId& job);
std::string LedgerKey(const ZoneId& zone);
std::string PlacementKey(const ZoneId& zone, const JobId& job);
std::string NodeKey(const NodeId& node);
/// Sorts by `at`; `node` and `sequence` make the key unique.
std::string AuditKey(Milliseconds at, const NodeId& node, std::int64_t sequence);

}  // namespace papayalift::keys
