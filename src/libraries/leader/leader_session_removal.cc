#include <algorithm>

#include "libraries/journal/journal_keys.h"
#include "libraries/leader/leader_session.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// Longer than a read of all accepted jobs takes.
constexpr Milliseconds kRemovalMemory{60'000};

Revision RevisionOf(const std::vector<StoreItem>& items, const std::string& key) {
  const auto found = std::find_if(items.begin(), items.end(),
                                  [&key](const StoreItem& item) { return item.key == key; });
  return found == items.end() ? Revision(0) : found->revision;
}

}  // namespace

void LeaderSession::RemoveExpiredJobs() {
  std::vector<JobId> without_records;
  for (auto& [id, job] : m_state.jobs) {
    if (!IsRemovable(job)) {
      continue;
    }
    if (job.is_record_gone && job.progress_revision.value() == 0) {
      without_records.push_back(id);
    } else {
      RemoveJob(id, job);
    }
  }
  for (const JobId& id : without_records) {
    ForgetJob(id, m_state.jobs.at(id).accepted_revision);
  }
  std::erase_if(m_state.removed_jobs, [now = Now()](const auto& entry) {
    return now - entry.second.removed_at > kRemovalMemory;
  });
}

bool LeaderSession::IsRemovable(const TrackedJob& job) const {
  const bool is_expired =
      job.ended_since.has_value() && Now() - *job.ended_since > m_settings.retention;
  if (job.is_removal_in_flight || job.write.has_value() || job.has_runs()) {
    return false;
  }
  if (job.is_withdrawn()) {
    return Now() - job.cancelled_since > m_settings.retention;
  }
  return job.is_record_gone ||
         (is_expired && !job.is_dirty && !AnyTaskInPhase(job.progress, TaskPhase::kPlaced));
}

void LeaderSession::RemoveJob(const JobId& id, TrackedJob& job) {
  Transaction removal;
  removal.Expect(kTermKey, m_state.term.revision)
      .Expect(ProgressKey(id), job.progress_revision)
      .Delete(ProgressKey(id));
  if (job.is_record_gone) {
    removal.Expect(AcceptedKey(id),
                   job.resubmission.has_value() ? job.resubmission->revision : Revision(0));
  } else {
    removal.Expect(AcceptedKey(id), job.accepted_revision)
        .Delete(AcceptedKey(id))
        .Delete(CancelKey(id));
  }
  // NOTE: the job stays known until the store has answered, or a read that is answered before the
  // removal would make it a new job.
  job.is_removal_in_flight = true;
  m_context.store.Commit(removal, [weak = weak_from_this(), id](const CommitAnswer& answer) {
    const Self self = weak.lock();
    if (self != nullptr && !self->m_is_closed) {
      self->OnRemovalAnswered(id, answer);
    }
  });
}

void LeaderSession::OnRemovalAnswered(const JobId& id, const CommitAnswer& answer) {
  TrackedJob& job = m_state.jobs.at(id);
  job.is_removal_in_flight = false;
  switch (answer.result) {
    case TransactionResult::kApplied:
      ForgetJob(id, answer.revision);
      return;
    case TransactionResult::kConflict:
      OnRemovalConflict(id, job, answer);
      return;
    case TransactionResult::kUnclear:
    case TransactionResult::kNotSent:
      LogEvent(LogLevel::kWarning, "leader", "an expired job could not be removed; trying again")
          .Job(id)
          .Reason(answer.error)
          .Write();
      if (job.is_dirty) {
        job.is_dirty = false;
        m_journal->MarkDirty(job);
      }
      return;
  }
}

void LeaderSession::OnRemovalConflict(const JobId& id, TrackedJob& job,
                                      const CommitAnswer& answer) {
  if (RevisionOf(answer.items, kTermKey) != m_state.term.revision) {
    m_context.election.StepDown("a removal found another term in the store");
    return;
  }
  const bool has_progress = RevisionOf(answer.items, ProgressKey(id)) == job.progress_revision;
  if (job.is_record_gone && has_progress) {
    // It was accepted again, which the watch will show before the next try.
    return;
  }
  if (job.progress_revision.value() == 0) {
    // A withdrawn job was accepted by a node that does not compare the cancellation.
    return;
  }
  const bool is_accepted =
      !job.is_record_gone && RevisionOf(answer.items, AcceptedKey(id)) == job.accepted_revision;
  if (is_accepted) {
    m_context.election.StepDown("a removal found a progress record of another leader");
    return;
  }
  // An earlier removal was applied without an answer.
  ForgetJob(id, std::max(job.accepted_revision, job.progress_revision));
}

void LeaderSession::ForgetJob(const JobId& id, Revision removed_at) {
  TrackedJob& job = m_state.jobs.at(id);
  LogEvent(LogLevel::kInfo, "leader", "a job's records are removed")
      .Job(id)
      .Field("revision", removed_at.value())
      .Write();
  const std::vector<EndReference> ends = job.unsaved_ends;
  const std::optional<StoreItem> resubmission = job.resubmission;
  m_state.jobs.erase(id);
  m_state.removed_jobs[id] = RemovedJob{removed_at, Now()};
  for (const EndReference& end : ends) {
    Acknowledge(end);
  }
  if (resubmission.has_value()) {
    ApplyAcceptedItem(*resubmission);
  }
}

void LeaderSession::MarkRecordGone(TrackedJob& job, const StoreItem& current) {
  job.is_record_gone = true;
  if (current.revision.value() != 0) {
    job.resubmission = current;
  }
  StopJob(job, "the job's record is gone");
}

void LeaderSession::DropProgressWithoutJob(const JobId& id, TrackedJob& job) {
  const bool is_accepted = job.accepted_revision.value() != 0;
  if (is_accepted && job.accepted.id.empty()) {
    // NOTE: its record can't be decoded, perhaps by this version only. Its progress is kept.
    return;
  }
  const bool has_its_shape = job.progress.steps.size() == job.accepted.work.steps.size();
  if (job.progress_revision.value() == 0 ||
      (is_accepted && job.progress_revision > job.accepted_revision && has_its_shape)) {
    return;
  }
  LogEvent(LogLevel::kWarning, "leader", "a progress record is not of an accepted job")
      .Job(id)
      .Field("progress_revision", job.progress_revision.value())
      .Field("accepted_revision", job.accepted_revision.value())
      .Field("steps", static_cast<std::int64_t>(job.progress.steps.size()))
      .Write();
  job.is_end_stored = false;
  if (is_accepted) {
    // Its first write replaces the record.
    job.progress = InitialProgress(job.accepted);
  } else {
    // Minions may still have its runs; these are stopped, and their ends acknowledged.
    job.progress = JobProgress{};
    job.is_record_gone = true;
  }
}

bool LeaderSession::IsOfRemovedJob(const JobId& id, const StoreItem& item) const {
  const auto removed = m_state.removed_jobs.find(id);
  return removed != m_state.removed_jobs.end() && item.revision <= removed->second.revision;
}

}  // namespace papayalift
