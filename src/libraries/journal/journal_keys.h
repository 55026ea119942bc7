/// The store keys of jobs and of the leader's term.
#pragma once

#include <optional>
#include <string>

#include "libraries/base/ids.h"
#include "libraries/work/fleet_manifest.h"

namespace papayalift {

constexpr char kTermKey[] = "papayalift/term";
/// The lease record. It lies below the term's key, so that one watch brings both.
constexpr char kLeaseRecordKey[] = "papayalift/term/leases";
/// The record of the speeds of machines. Its further parts have this key as their prefix.
constexpr char kSpeedsKey[] = "papayalift/speeds";
constexpr char kAcceptedPrefix[] = "papayalift/accepted/";
constexpr char kProgressPrefix[] = "papayalift/progress/";
/// Prefix of the records of cancelled jobs that were not stored. A submission that is under way
/// compares one of them.
constexpr char kWithdrawalsPrefix[] = "papayalift/withdrawals/";

std::string AcceptedKey(const JobId& job);
std::string CancelKey(const JobId& job);
std::string ProgressKey(const JobId& job);
/// Prefix of the waiting keys, one for each job of the queue of which no task has started.
std::string WaitingPrefix(const QueueId& queue);
std::string WaitingKey(const QueueId& queue, const JobId& job);

enum class AcceptedKeyKind { kJob, kCancel };

struct ParsedAcceptedKey {
  AcceptedKeyKind kind = AcceptedKeyKind::kJob;
  JobId job;
};

/// Empty if `key` does not have the prefix of accepted jobs.
std::optional<ParsedAcceptedKey> ParseAcceptedKey(const std::string& key);
std::optional<JobId> ParseProgressKey(const std::string& key);

}  // namespace papayalift
