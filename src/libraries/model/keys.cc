#include "libraries/model/keys.h"

#include <fmt/format.h>

namespace papayalift::keys {

std::string BundleKey(BundleVersion version) {
  return fmt::format("{}{:010}", kBundles, version.value());
}

std::string JobKey(const JobId& job) { return kJobs + job.text(); }

std::string LedgerKey(const ZoneId& zone) { return kLedgers + zone.text(); }

std::string PlacementKey(const ZoneId& zone, const JobId& job) {
  return fmt::format("{}{}/{}", kPlacements, zone.text(), job.text());
}

std::string NodeKey(const NodeId& node) { return kNodes + node.text(); }

std::string AuditKey(Milliseconds at, const NodeId& node, std::int64_t sequence) {
  return fmt::format("{}{:015}-{}-{:06}", kAudit, at.count(), node.text(), sequence);
}

}  // namespace papayalift::keys
