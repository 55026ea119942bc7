/// Operators submit, sign off and roll bundles.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/base/clock.h"
#include "libraries/model/bundle_record.h"
#include "libraries/node/audit_writer.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

class BundleManager {
 public:
  BundleManager(const Clock& clock, KeyValueService& store, AuditWriter& audit);

  /// Stores a checked draft under the next version. kInvalidArgument lists its problems.
  absl::StatusOr<BundleRecord> Submit(const std::string& text, const OperatorId& actor);

  /// kAborted where `digest` is not the draft's. kFailedPrecondition names the guarantees that
  /// don't fit together, or not with any one zone out.
  absl::StatusOr<BundleRecord> SignOff(BundleVersion version, const std::string& digest,
                                       const OperatorId& actor);

  /// Puts `version` in force if `seen` still is. kAborted tells what is in force by now.
  /// Removes versions far below the one rolled.
  /// kFailedPrecondition: not signed off, or not above what is in force.
  absl::StatusOr<CurrentBundle> Roll(BundleVersion version, BundleVersion seen,
                                     const OperatorId& actor);

  absl::StatusOr<BundleRecord> Read(BundleVersion version);
  /// Version 0 before the first roll.
  absl::StatusOr<CurrentBundle> Current();
  /// All versions, the oldest first.
  absl::StatusOr<std::vector<BundleRecord>> History();

 private:
  const Clock& m_clock;
  KeyValueService& m_store;
  AuditWriter& m_audit;
};

}  // namespace papayalift
