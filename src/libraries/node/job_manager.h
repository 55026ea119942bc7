/// Lets callers submit, read and cancel jobs. Errors tell whether the request took effect.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "libraries/model/job_record.h"
#include "libraries/node/audit_writer.h"
#include "libraries/node/fleet_state.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

enum class Acceptance { kNew, kExisting };

struct SubmitResult {
  JobRecord job;
  Acceptance acceptance = Acceptance::kNew;
};

class JobManager {
 public:
  JobManager(const Clock& clock, KeyValueService& store, const FleetState& state,
             AuditWriter& audit);

  /// kFailedPrecondition: the job can never run and was not accepted. kAborted: the key belongs to
  /// a job with another specification. kUnavailable: not accepted. kUnknown: it may have been
  /// accepted; submitting again with the same key tells. A key stays known until Retention removes
  /// its job.
  absl::StatusOr<SubmitResult> Submit(const JobSpec& spec);

  /// Reads the current record from the key-value service.
  absl::StatusOr<JobRecord> Read(const JobId& id);

  /// Requests the cancellation; the node that owns the job carries it out. A queued job ends at
  /// once. A job that has ended is left as it is.
  absl::StatusOr<JobRecord> Cancel(const JobId& id);

 private:
  absl::StatusOr<SubmitResult> ExistingJob(const JobSpec& spec, const JobRecord& existing) const;
  absl::StatusOr<SubmitResult> ReadBack(const JobSpec& spec, const JobRecord& written);

  const Clock& m_clock;
  KeyValueService& m_store;
  const FleetState& m_state;
  AuditWriter& m_audit;
};

}  // namespace papayalift
