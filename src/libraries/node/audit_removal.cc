#include "libraries/node/audit_removal.h"

#include <algorithm>

#include "libraries/model/keys.h"

namespace papayalift {

namespace {

/// Deletes per transaction; the key-value service limits the size of a transaction.
constexpr std::size_t kMaxDeletes = 64;
constexpr StepResult kStepLater{StepKind::kAgain, Milliseconds(250)};

}  // namespace

std::shared_ptr<AuditRemoval> AuditRemoval::Create(const GangContext& context,
                                                   Milliseconds retention) {
  return std::shared_ptr<AuditRemoval>(new AuditRemoval(context, retention));
}

const JobId& AuditRemoval::SessionId() {
  static const JobId kId("audit-removal");
  return kId;
}

StepResult AuditRemoval::Step() {
  const Milliseconds oldest_kept = m_context.clock.WallNow() - m_retention;
  if (oldest_kept <= Milliseconds(0)) {
    return kStepDone;
  }
  const KeyRange range{keys::kAudit, keys::AuditKey(oldest_kept, NodeId(), 0)};
  const absl::StatusOr<RangeAnswer> answer = m_context.store.Range(range);
  if (!answer.ok() || answer->records.empty()) {
    return kStepDone;
  }
  const std::size_t count = std::min(kMaxDeletes, answer->records.size());
  Transaction transaction;
  for (std::size_t index = 0; index < count; ++index) {
    transaction.Delete(answer->records[index].key);
  }
  if (m_context.store.Commit(transaction).result != TransactionResult::kApplied) {
    return kStepDone;
  }
  return kStepLater;
}

}  // namespace papayalift
