/// Records the success of a gang whose tasks have all succeeded, and frees its accelerators.
#pragma once

#include <memory>

#include "libraries/node/gang_context.h"
#include "libraries/node/gang_session.h"

namespace papayalift {

class GangFinish final : public GangSession {
 public:
  static std::shared_ptr<GangFinish> Create(const GangContext& context, JobId job, ZoneId zone,
                                            AttemptId attempt);

  const JobId& job() const override { return m_job; }
  StepResult Step() override;

 private:
  GangFinish(const GangContext& context, JobId job, ZoneId zone, AttemptId attempt);

  const GangContext m_context;
  const JobId m_job;
  const ZoneId m_zone;
  const AttemptId m_attempt;
};

}  // namespace papayalift
