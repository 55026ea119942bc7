/// What callers can do with jobs: submit and cancel. Every answer says what is known.
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

  /// kFailedPrecondition: it can never run, and was not accepted. kAborted: the key names a job
  /// with another specification. kUnavailable: surely not accepted. kUnknown: may have been
  /// accepted; a repeat with the same key finds out. A key is remembered until Retention removes
  /// its job.
  absl::StatusOr<SubmitResult> Submit(const JobSpec& spec);

  /// The newest record, read from the key-value service.
  absl::StatusOr<JobRecord> Read(const JobId& id);

  /// Marks the job; whoever owns it ends it. A job that has ended stays as it is.
  absl::StatusOr<JobRecord> Cancel(const JobId& id);

 private:
  absl::StatusOr<SubmitResult> ExistingJob(const JobSpec& spec, const JobRecord& known) const;
  absl::StatusOr<SubmitResult> ReadBack(const JobSpec& spec, const JobRecord& written);

  const Clock& m_clock;
  KeyValueService& m_store;
  const FleetState& m_state;
  AuditWriter& m_audit;
};

}  // namespace papayalift
