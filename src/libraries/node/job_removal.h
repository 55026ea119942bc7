/// Removes the record of a job whose retention time has passed.
#pragma once

#include <memory>

#include "libraries/node/gang_context.h"
#include "libraries/node/gang_session.h"

namespace papayalift {

class JobRemoval final : public GangSession {
 public:
  /// Removes the job only if it ended at least `retention` ago.
  static std::shared_ptr<JobRemoval> Create(const GangContext& context, JobId job,
                                            Milliseconds retention);

  const JobId& job() const override { return m_job; }
  StepResult Step() override;

 private:
  JobRemoval(const GangContext& context, JobId job, Milliseconds retention);

  const GangContext m_context;
  const JobId m_job;
  const Milliseconds m_retention;
};

}  // namespace papayalift
