/// The stored record of withdrawals: cancellations of jobs that were not stored then.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

/// How long a withdrawal is kept: for the longest budget of a request, as its consumer or the
/// ingress may send it again, and while a node that stood still goes on. A write that the store
/// carries out late is barred for ever by the record's revision.
constexpr Milliseconds kWithdrawalLifetime{100'000};

struct Withdrawal {
  JobId job;
  /// Hash of the workspace's name, which may be long.
  std::uint64_t workspace_hash = 0;
  /// Tells this withdrawal from others of the same job and workspace.
  std::uint64_t stamp = 0;
  /// At least so much time has passed since it was stored. No wall clock tells it: these may jump
  /// by hours.
  Milliseconds age{0};

  bool operator==(const Withdrawal&) const = default;
};

/// The withdrawals of the jobs whose ids share a record. The store never removes the record, so
/// each change of it fails all submissions that compare an earlier revision, for ever.
class WithdrawalRecord {
 public:
  static constexpr std::size_t kMaxWithdrawals = 256;
  /// So that no workspace takes all the room.
  static constexpr std::size_t kMaxWithdrawalsOfWorkspace = kMaxWithdrawals / 2;

  static absl::StatusOr<WithdrawalRecord> Decode(std::string_view text);
  std::string Encode() const;

  /// Whether the workspace's job is withdrawn.
  bool Contains(const JobId& job, const WorkspaceId& workspace) const;
  /// Whether this very withdrawal is in the record.
  bool Includes(const Withdrawal& withdrawal) const;
  /// Adds the withdrawal in place of an earlier one of the same job and workspace. Without room
  /// nothing is added, and the time after which there will be some is returned.
  std::optional<Milliseconds> Add(const Withdrawal& withdrawal);
  /// Lets all withdrawals age, and drops those that have been kept for long enough.
  void Advance(Milliseconds time);
  /// Time until the first withdrawal expires. The record must not be empty.
  Milliseconds TimeUntilExpiry() const;
  std::size_t size() const { return m_withdrawals.size(); }

 private:
  /// In the order in which they were stored.
  std::vector<Withdrawal> m_withdrawals;
};

/// A new withdrawal of the workspace's job.
Withdrawal MakeWithdrawal(const JobId& job, const WorkspaceId& workspace, std::uint64_t stamp);

}  // namespace papayalift
