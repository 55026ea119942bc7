/// Ends a queued job that was cancelled.
#pragma once

#include <memory>

#include "libraries/node/gang_context.h"
#include "libraries/node/gang_session.h"

namespace papayalift {

class GangCancel final : public GangSession {
 public:
  static std::shared_ptr<GangCancel> Create(const GangContext& context, JobId job);

  const JobId& job() const override { return m_job; }
  StepResult Step() override;

 private:
  GangCancel(const GangContext& context, JobId job);

  const GangContext m_context;
  const JobId m_job;
};

}  // namespace papayalift
