#include "libraries/journal/journal_keys.h"

namespace papayalift {

namespace {

constexpr char kCancelSuffix[] = "/cancel";
constexpr char kWaitingPrefix[] = "papayalift/waiting/";

}  // namespace

std::string AcceptedKey(const JobId& job) { return kAcceptedPrefix + job.text(); }

std::string CancelKey(const JobId& job) { return AcceptedKey(job) + kCancelSuffix; }

std::string ProgressKey(const JobId& job) { return kProgressPrefix + job.text(); }

std::string WaitingPrefix(const QueueId& queue) { return kWaitingPrefix + queue.text() + "/"; }

std::string WaitingKey(const QueueId& queue, const JobId& job) {
  return WaitingPrefix(queue) + job.text();
}

std::optional<ParsedAcceptedKey> ParseAcceptedKey(const std::string& key) {
  const std::string prefix(kAcceptedPrefix);
  if (!key.starts_with(prefix)) {
    return std::nullopt;
  }
  const std::string name = key.substr(prefix.size());
  const std::string suffix(kCancelSuffix);
  if (name.ends_with(suffix)) {
    return ParsedAcceptedKey{AcceptedKeyKind::kCancel,
                             JobId(name.substr(0, name.size() - suffix.size()))};
  }
  return ParsedAcceptedKey{AcceptedKeyKind::kJob, JobId(name)};
}

std::optional<JobId> ParseProgressKey(const std::string& key) {
  const std::string prefix(kProgressPrefix);
  if (!key.starts_with(prefix)) {
    return std::nullopt;
  }
  return JobId(key.substr(prefix.size()));
}

}  // namespace papayalift
