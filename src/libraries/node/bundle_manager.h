/// Lets operators submit, sign off and roll bundles.
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

  /// Stores a valid draft under the next version. kInvalidArgument lists the errors of the draft.
  absl::StatusOr<BundleRecord> Submit(const std::string& text, const OperatorId& actor);

  /// kAborted: the draft has another digest. kFailedPrecondition: names the guarantees that can't
  /// be met together, or not while any one zone is out.
  absl::StatusOr<BundleRecord> SignOff(BundleVersion version, const std::string& digest,
                                       const OperatorId& actor);

  /// Puts `version` in force if `seen` still is, and removes old versions.
  /// kAborted: names the version that is in force instead of `seen`. kFailedPrecondition: `version`
  /// is not signed off, or not above the version in force.
  absl::StatusOr<CurrentBundle> Roll(BundleVersion version, BundleVersion seen,
                                     const OperatorId& actor);

  absl::StatusOr<BundleRecord> Read(BundleVersion version);
  /// Version 0 before the first roll.
  absl::StatusOr<CurrentBundle> Current();
  /// All stored versions, oldest first.
  absl::StatusOr<std::vector<BundleRecord>> History();

 private:
  const Clock& m_clock;
  KeyValueService& m_store;
  AuditWriter& m_audit;
};

}  // namespace papayalift
