#include "libraries/journal/withdrawal_record.h"

#include <algorithm>

#include "libraries/base/hash.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr char kListField[] = "withdrawals";

bool IsSameJob(const Withdrawal& left, const Withdrawal& right) {
  return left.job == right.job && left.workspace_hash == right.workspace_hash;
}

}  // namespace

Withdrawal MakeWithdrawal(const JobId& job, const WorkspaceId& workspace, std::uint64_t stamp) {
  return Withdrawal{job, Hash64(workspace.text()), stamp, Milliseconds(0)};
}

absl::StatusOr<WithdrawalRecord> WithdrawalRecord::Decode(std::string_view text) {
  return DecodeRecord<WithdrawalRecord>(text, [](const Json& json) {
    WithdrawalRecord record;
    // Each row is [job, hash of the workspace, stamp, age].
    for (const Json& row : json.at(kListField)) {
      record.m_withdrawals.push_back(
          Withdrawal{JobId(row.at(0).get<std::string>()), row.at(1).get<std::uint64_t>(),
                     row.at(2).get<std::uint64_t>(),
                     Milliseconds(IntegerOf(row.at(3), 0, kWithdrawalLifetime.count()))});
    }
    return record;
  });
}

std::string WithdrawalRecord::Encode() const {
  Json rows = Json::array();
  for (const Withdrawal& withdrawal : m_withdrawals) {
    rows.push_back({withdrawal.job.text(), withdrawal.workspace_hash, withdrawal.stamp,
                    withdrawal.age.count()});
  }
  return Json{{kListField, std::move(rows)}}.dump();
}

bool WithdrawalRecord::Contains(const JobId& job, const WorkspaceId& workspace) const {
  const Withdrawal wanted = MakeWithdrawal(job, workspace, 0);
  return std::any_of(m_withdrawals.begin(), m_withdrawals.end(),
                     [&wanted](const Withdrawal& one) { return IsSameJob(one, wanted); });
}

bool WithdrawalRecord::Includes(const Withdrawal& withdrawal) const {
  return std::any_of(m_withdrawals.begin(), m_withdrawals.end(), [&](const Withdrawal& one) {
    return IsSameJob(one, withdrawal) && one.stamp == withdrawal.stamp;
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
  Milliseconds oldest{0};
  for (const Withdrawal& one : m_withdrawals) {
    if (!is_workspace_full || is_of_workspace(one)) {
      oldest = std::max(oldest, one.age);
    }
  }
  return std::max(kWithdrawalLifetime - oldest, Milliseconds(1));
}

Milliseconds WithdrawalRecord::TimeUntilExpiry() const {
  const auto oldest = std::max_element(
      m_withdrawals.begin(), m_withdrawals.end(),
      [](const Withdrawal& left, const Withdrawal& right) { return left.age < right.age; });
  return kWithdrawalLifetime - oldest->age;
}

void WithdrawalRecord::Advance(Milliseconds time) {
  for (Withdrawal& one : m_withdrawals) {
    one.age += time;
  }
  std::erase_if(m_withdrawals,
                [](const Withdrawal& one) { return one.age >= kWithdrawalLifetime; });
}

}  // namespace papayalift
