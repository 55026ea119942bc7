#include "libraries/journal/withdrawal_record.h"

#include <algorithm>
#include <limits>

#include "libraries/base/hash.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

/// After the latest time that a wall clock may show.
constexpr std::int64_t kMaxTimeMs = 1LL << 53;

constexpr char kListField[] = "withdrawals";

bool IsSameJob(const Withdrawal& left, const Withdrawal& right) {
  return left.job == right.job && left.workspace_hash == right.workspace_hash;
}

}  // namespace

Withdrawal MakeWithdrawal(const JobId& job, const WorkspaceId& workspace, Milliseconds now) {
  return Withdrawal{job, Hash64(workspace.text()), now};
}

absl::StatusOr<WithdrawalRecord> WithdrawalRecord::Decode(std::string_view text) {
  return DecodeRecord<WithdrawalRecord>(text, [](const Json& json) {
    WithdrawalRecord record;
    // Each row is [job, hash of the workspace, time].
    for (const Json& row : json.at(kListField)) {
      record.m_withdrawals.push_back(Withdrawal{JobId(row.at(0).get<std::string>()),
                                                row.at(1).get<std::uint64_t>(),
                                                Milliseconds(IntegerOf(row.at(2), 0, kMaxTimeMs))});
    }
    return record;
  });
}

std::string WithdrawalRecord::Encode() const {
  Json rows = Json::array();
  for (const Withdrawal& withdrawal : m_withdrawals) {
    rows.push_back({withdrawal.job.text(), withdrawal.workspace_hash, withdrawal.at.count()});
  }
  return Json{{kListField, std::move(rows)}}.dump();
}

bool WithdrawalRecord::HasExpired(const Withdrawal& withdrawal, Milliseconds now) {
  return now - withdrawal.at >= kWithdrawalLifetime + kWithdrawalClockMargin;
}

bool WithdrawalRecord::Contains(const JobId& job, const WorkspaceId& workspace,
                                Milliseconds now) const {
  const Withdrawal wanted = MakeWithdrawal(job, workspace, now);
  return std::any_of(m_withdrawals.begin(), m_withdrawals.end(), [&](const Withdrawal& one) {
    return IsSameJob(one, wanted) && !HasExpired(one, now);
  });
}

bool WithdrawalRecord::Includes(const Withdrawal& withdrawal) const {
  return std::any_of(m_withdrawals.begin(), m_withdrawals.end(), [&](const Withdrawal& one) {
    return IsSameJob(one, withdrawal) && one.at >= withdrawal.at;
  });
}

std::optional<Milliseconds> WithdrawalRecord::Add(const Withdrawal& withdrawal) {
  std::erase_if(m_withdrawals, [&](const Withdrawal& one) { return IsSameJob(one, withdrawal); });
  const auto is_of_workspace = [&](const Withdrawal& one) {
    return one.workspace_hash == withdrawal.workspace_hash;
  };
  const std::size_t of_workspace = static_cast<std::size_t>(
      std::count_if(m_withdrawals.begin(), m_withdrawals.end(), is_of_workspace));
  const bool is_workspace_full = of_workspace >= kMaxWithdrawalsOfWorkspace;
  if (!is_workspace_full && m_withdrawals.size() < kMaxWithdrawals) {
    m_withdrawals.push_back(withdrawal);
    return std::nullopt;
  }
  Milliseconds oldest(std::numeric_limits<std::int64_t>::max());
  for (const Withdrawal& one : m_withdrawals) {
    if (!is_workspace_full || is_of_workspace(one)) {
      oldest = std::min(oldest, one.at);
    }
  }
  const Milliseconds room_at = oldest + kWithdrawalLifetime + kWithdrawalClockMargin;
  return std::clamp(room_at - withdrawal.at, Milliseconds(1),
                    kWithdrawalLifetime + kWithdrawalClockMargin);
}

void WithdrawalRecord::DropExpired(Milliseconds now) {
  std::erase_if(m_withdrawals, [now](const Withdrawal& one) { return HasExpired(one, now); });
}

}  // namespace papayalift
