/// Removes audit entries that have passed their retention time.
#pragma once

#include <memory>

#include "libraries/node/gang_context.h"
#include "libraries/node/gang_session.h"

namespace papayalift {

class AuditRemoval final : public GangSession {
 public:
  static std::shared_ptr<AuditRemoval> Create(const GangContext& context, Milliseconds retention);
  /// The id that this session has in place of a job, so that exactly one node owns the removal.
  static const JobId& SessionId();

  const JobId& job() const override { return SessionId(); }
  StepResult Step() override;

 private:
  AuditRemoval(const GangContext& context, Milliseconds retention)
      : m_context(context), m_retention(retention) {}

  const GangContext m_context;
  const Milliseconds m_retention;
};

}  // namespace papayalift
