#include "libraries/soak/soak_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace papayalift {

namespace {

/// Time after the answer to its cancellation during which a job may still be started.
constexpr Milliseconds kCancelBound{3'000};

/// Time that a started job may have no run while many minions are empty, also with all faults that
/// overlap.
constexpr Milliseconds kStandstillBound{15'000};

class EndCheck {
 public:
  EndCheck(const std::vector<SoakJobRecord>& records, SoakBounds bounds) : m_bounds(bounds) {
    for (const SoakJobRecord& record : records) {
      m_records[record.id] = record;
    }
  }

  std::vector<std::string> Run(const std::vector<SoakJob>& jobs) {
    for (const SoakJob& job : jobs) {
      const auto found = m_records.find(job.id);
      CheckJob(job, found == m_records.end() ? SoakJobRecord{job.id} : found->second);
      if (found != m_records.end()) {
        m_records.erase(found);
      }
    }
    for (const auto& [id, record] : m_records) {
      m_broken.push_back(fmt::format("{}: ran, but was never submitted", id.text()));
    }
    return m_broken;
  }

 private:
  void RecordBroken(const SoakJob& job, const std::string& what) {
    m_broken.push_back(fmt::format("{}: {}", job.id.text(), what));
  }

  void CheckJob(const SoakJob& job, const SoakJobRecord& record) {
    if (job.submit_outcome == SubmitOutcome::kRejected && record.starts > 0) {
      RecordBroken(job, "ran, though every attempt to submit it was rejected");
    }
    if (job.submit_outcome == SubmitOutcome::kAccepted && !IsEndState(job.state)) {
      RecordBroken(job, fmt::format("accepted, and still {} at the end, {} of {} tasks done",
                                    job.state.empty() ? "without an answer" : job.state,
                                    record.done, job.tasks));
    }
    if (job.state == "done" && record.done < job.tasks) {
      RecordBroken(job,
                   fmt::format("shown as done with {} of {} tasks done", record.done, job.tasks));
    }
    if (IsEndState(job.state) && record.running > 0) {
      RecordBroken(job, fmt::format("{} tasks run on though it is {}", record.running, job.state));
    }
    if (m_bounds == SoakBounds::kTimed && !job.cancel_was_sent && record.stood > kStandstillBound) {
      RecordBroken(job,
                   fmt::format("had no run for {} ms beside empty minions", record.stood.count()));
    }
    if (m_bounds == SoakBounds::kTimed && job.cancelled_at.has_value() &&
        record.last_order_at > *job.cancelled_at + kCancelBound) {
      RecordBroken(job, fmt::format("started {} ms after its cancellation was answered",
                                    (record.last_order_at - *job.cancelled_at).count()));
    }
  }

  const SoakBounds m_bounds;
  std::map<JobId, SoakJobRecord> m_records;
  std::vector<std::string> m_broken;
};

}  // namespace

std::string CheckReportedState(const SoakJob& job, const std::string& state) {
  if (state == "failed") {
    return "shown as failed, though no task of it failed";
  }
  if (state == "cancelled" && !job.cancel_was_sent) {
    return "shown as cancelled, though nobody cancelled it";
  }
  if (IsEndState(job.state) && state != job.state) {
    return fmt::format("shown as {} after it was shown as {}", state, job.state);
  }
  return "";
}

Milliseconds LongestStandstill(const std::vector<SoakJob>& jobs,
                               const std::vector<SoakJobRecord>& records) {
  std::set<JobId> cancelled;
  for (const SoakJob& job : jobs) {
    if (job.cancel_was_sent) {
      cancelled.insert(job.id);
    }
  }
  Milliseconds longest{0};
  for (const SoakJobRecord& record : records) {
    if (!cancelled.contains(record.id)) {
      longest = std::max(longest, record.stood);
    }
  }
  return longest;
}

std::vector<std::string> CheckSoakEnd(const std::vector<SoakJob>& jobs,
                                      const std::vector<SoakJobRecord>& records,
                                      SoakBounds bounds) {
  return EndCheck(records, bounds).Run(jobs);
}

}  // namespace papayalift
