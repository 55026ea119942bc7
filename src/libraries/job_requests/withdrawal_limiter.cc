#include "libraries/job_requests/withdrawal_limiter.h"

#include <algorithm>
#include <chrono>

namespace papayalift {

namespace {

/// Nodes of the largest deployment that the limits are meant for.
constexpr double kMaxNodes = 300;
/// Part of the store's writes that all nodes together may use for withdrawals.
constexpr double kShareOfWrites = 0.25;
/// A workspace gets this part of what its node may use.
constexpr double kShareOfWorkspace = 0.5;
/// No refused consumer is told to wait longer.
constexpr Milliseconds kMaxRetryAfter{60'000};
/// Beyond so many workspaces those that have recovered are dropped.
constexpr std::size_t kMaxIdleWorkspaces = 1'000;

double SecondsOf(Milliseconds time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

WithdrawalLimits WithdrawalLimits::ForStore(double writes_per_second) {
  WithdrawalLimits limits;
  limits.node_rate = writes_per_second * kShareOfWrites / kMaxNodes;
  limits.workspace_rate = limits.node_rate * kShareOfWorkspace;
  return limits;
}

void WithdrawalLimiter::Fill(Bucket& bucket, double burst, double rate, Milliseconds now) {
  bucket.tokens = std::min(burst, bucket.tokens + rate * SecondsOf(now - bucket.filled_at));
  bucket.filled_at = now;
}

Milliseconds WithdrawalLimiter::NextSlot(Bucket& bucket, double rate, Milliseconds now) {
  constexpr double kMillisecondsPerSecond = 1'000;
  const auto time_for = [rate](double tokens) {
    return Milliseconds(static_cast<std::int64_t>(tokens / rate * kMillisecondsPerSecond));
  };
  const Milliseconds next_token = now + time_for(std::max(0.0, 1 - bucket.tokens));
  bucket.promised_at = std::max(next_token, bucket.promised_at + time_for(1));
  bucket.promised_at = std::min(bucket.promised_at, now + kMaxRetryAfter);
  return bucket.promised_at - now;
}

std::optional<Milliseconds> WithdrawalLimiter::Admit(const WorkspaceId& workspace,
                                                     Milliseconds now) {
  DropFullBuckets(now);
  Fill(m_node, m_limits.node_burst, m_limits.node_rate, now);
  const auto [found, is_new] =
      m_workspaces.try_emplace(workspace, Bucket{m_limits.workspace_burst, now});
  Bucket& bucket = found->second;
  Fill(bucket, m_limits.workspace_burst, m_limits.workspace_rate, now);
  if (bucket.tokens < 1) {
    return NextSlot(bucket, m_limits.workspace_rate, now);
  }
  if (m_node.tokens < 1) {
    return NextSlot(m_node, m_limits.node_rate, now);
  }
  bucket.tokens -= 1;
  m_node.tokens -= 1;
  return std::nullopt;
}

void WithdrawalLimiter::DropFullBuckets(Milliseconds now) {
  if (m_workspaces.size() <= kMaxIdleWorkspaces) {
    return;
  }
  std::erase_if(m_workspaces, [this, now](const auto& entry) {
    Bucket bucket = entry.second;
    Fill(bucket, m_limits.workspace_burst, m_limits.workspace_rate, now);
    return bucket.tokens >= m_limits.workspace_burst;
  });
}

}  // namespace papayalift
