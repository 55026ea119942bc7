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

/// How long a withdrawal is kept at least: for the longest budget of a request, as its consumer or
/// the ingress may send it again, and while a node that stood still goes on. A write that the store
/// carries out late is barred for ever by the record's revision.
constexpr Milliseconds kWithdrawalLifetime{90'000};
/// Withdrawals are kept this much longer, as they are dated by the wall clocks of nodes.
constexpr Milliseconds kWithdrawalClockMargin{10'000};

struct Withdrawal {
  JobId job;
  /// Hash of the workspace's name, which may be long.
  std::uint64_t workspace_hash = 0;
  /// Wall clock of the node that stored it.
  Milliseconds at{0};

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
  bool Contains(const JobId& job, const WorkspaceId& workspace, Milliseconds now) const;
  /// Whether the withdrawal, or a later one of the same job and workspace, is in the record.
  bool Includes(const Withdrawal& withdrawal) const;
  /// Adds the withdrawal in place of an earlier one of the same job and workspace. Without room
  /// nothing is added, and the time after which there will be some is returned.
  std::optional<Milliseconds> Add(const Withdrawal& withdrawal);
  void DropExpired(Milliseconds now);
  std::size_t size() const { return m_withdrawals.size(); }

 private:
  static bool HasExpired(const Withdrawal& withdrawal, Milliseconds now);

  /// In the order in which they were stored.
  std::vector<Withdrawal> m_withdrawals;
};

/// The withdrawal of the workspace's job.
Withdrawal MakeWithdrawal(const JobId& job, const WorkspaceId& workspace, Milliseconds now);

}  // namespace papayalift
