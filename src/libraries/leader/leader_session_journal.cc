#include "libraries/journal/journal_keys.h"
#include "libraries/leader/leader_session.h"
#include "libraries/leader/minion_usability.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// A placement is discarded if its conditions held longer ago than this when its write is answered.
constexpr Milliseconds kMaxPlacementAge{1'500};

}  // namespace

void LeaderSession::ConfirmRegistration(const MinionId& id, Milliseconds at) {
  if (TrackedMinion* const minion = m_state.FindMinion(id); minion != nullptr) {
    minion->entry_confirmed_at = std::max(minion->entry_confirmed_at, at);
  }
}

std::optional<std::string> LeaderSession::ObstacleToStart(const TrackedRun& run) {
  const TrackedMinion& minion = m_state.minions.at(run.minion);
  if (Now() - RegistrationKnownAt(m_state, minion) > m_settings.registration_freshness) {
    RereadRegistry();
    return "its minion's registration is not known lately";
  }
  if (!minion.entry.has_value()) {
    return "its minion has left the registry";
  }
  if (minion.entry->incarnation != run.incarnation || minion.incarnation != run.incarnation) {
    return "its minion has started anew";
  }
  if (!RegistryAllowsWork(m_state, minion, m_settings.max_heartbeat_age)) {
    return "its minion drains, is in an evacuated zone or has not written its heartbeat";
  }
  if (!minion.allocated.Fits(minion.entry->capacity)) {
    return "its minion's room has shrunk below what is placed there";
  }
  return std::nullopt;
}

std::set<int> LeaderSession::ObstructedGangs(const TrackedJob& job, const ProgressWrite& write) {
  std::set<int> obstructed;
  for (const TaskName& name : write.placements) {
    const WorkStepKind kind = job.accepted.work.steps[static_cast<std::size_t>(name.step)].kind;
    const TrackedRun* const run = m_state.FindRun(name, m_state.FindTask(name)->attempt);
    if (kind != WorkStepKind::kGang || run == nullptr || obstructed.contains(name.step)) {
      continue;
    }
    if (const std::optional<std::string> obstacle = ObstacleToStart(*run)) {
      LogEvent(LogLevel::kWarning, "leader", "the starts of a gang are not sent")
          .Job(name.job)
          .Field("step", name.step)
          .Field("minion", run->minion.text())
          .Reason(*obstacle)
          .Write();
      obstructed.insert(name.step);
    }
  }
  return obstructed;
}

void LeaderSession::OnStored(TrackedJob& job, const ProgressWrite& write) {
  const bool is_too_old = Now() - write.conditions_held_at > kMaxPlacementAge;
  for (const MinionId& id : write.compared_minions) {
    ConfirmRegistration(id, write.conditions_held_at);
  }
  const std::set<int> obstructed_gangs = ObstructedGangs(job, write);
  for (const TaskName& name : write.placements) {
    const TaskProgress& task = *m_state.FindTask(name);
    TrackedRun* const run = m_state.FindRun(name, task.attempt);
    if (run == nullptr || run->state != TrackedRunState::kDecided) {
      continue;
    }
    if (run->stop_wanted || is_too_old || job.is_cancelled || HasEnded(job.progress.state) ||
        obstructed_gangs.contains(name.step)) {
      DiscardPlacement(job, name);
      m_journal->MarkDirty(job);
      SchedulePlan();
      continue;
    }
    m_context.metrics.Observe("papayalift_start_after_known_ms",
                              static_cast<double>((Now() - job.known_since).count()));
    m_supervisor->Start(*run, job.accepted.work.payload, task.checkpoint);
  }
  if (!write.placements.empty()) {
    // The write was conditional on the manifest's revision.
    m_context.view.RecordConfirmation(write.conditions_held_at);
  }
  EndJobIfSettled(job);
  for (const EndReference& end : write.ends) {
    Acknowledge(end);
  }
}

void LeaderSession::OnConflict(TrackedJob& job, const ProgressWrite& write,
                               const std::vector<StoreItem>& items) {
  std::string reason;
  for (const StoreItem& item : items) {
    if (item.key == AcceptedKey(job.accepted.id) && item.revision != job.accepted_revision) {
      reason = "the job's record is gone";
      MarkRecordGone(job, item);
    } else if (item.key == CancelKey(job.accepted.id) && item.revision.value() != 0) {
      reason = "the job is cancelled";
      job.is_cancelled = true;
    } else if (item.key == m_context.schema.ManifestKey() &&
               item.revision != m_context.view.revision()) {
      reason = "the manifest has changed";
      m_context.view.Adopt(item);
    } else if (const std::optional<ZoneId> zone = m_context.schema.EvacuatedZone(item.key);
               zone.has_value() && item.revision.value() != 0) {
      reason = "a zone is evacuated";
      m_state.evacuated_zones.insert(*zone);
    } else if (item.key.starts_with(m_context.schema.MinionPrefix())) {
      if (item.revision.value() == 0) {
        UnlistMinion(m_context.schema.MinionOfKey(item.key));
      } else {
        ApplyMinionItem(item);
        ConfirmRegistration(m_context.schema.MinionOfKey(item.key), write.sent_at);
      }
    }
  }
  LogEvent(LogLevel::kInfo, "leader",
           "a placement was not stored: the state it was based on has changed")
      .Job(job.accepted.id)
      .Reason(reason.empty() ? "a minion's registration has changed" : reason)
      .Write();
  for (const TaskName& name : write.placements) {
    DiscardPlacement(job, name);
  }
  if (job.is_cancelled) {
    if (!job.is_end_stored && HasEnded(job.progress.state)) {
      // The cancellation was stored before the end, so the job has not ended in another way.
      job.progress.state = WorkState::kRunning;
    }
    Cancel(job);
  }
  SchedulePlan();
}

void LeaderSession::DiscardPlacement(TrackedJob& job, const TaskName& name) {
  TaskProgress& task = *m_state.FindTask(name);
  const TrackedRun* const run = m_state.FindRun(name, task.attempt);
  if (run == nullptr || run->state != TrackedRunState::kDecided) {
    return;
  }
  m_state.RemoveRun(MinionId(task.minion), name);
  // The end of an earlier attempt may have been heard of since the decision.
  if (task.phase == TaskPhase::kPlaced) {
    ReturnToWaiting(job, name);
  }
}

void LeaderSession::Acknowledge(const EndReference& end) {
  TrackedMinion* const minion = m_state.FindMinion(end.minion);
  if (minion == nullptr || minion->incarnation != end.incarnation) {
    return;
  }
  minion->unsaved_ends.erase(end.number);
  if (minion->unsaved_ends.empty()) {
    m_supervisor->RequestHold(*minion);
  }
}

}  // namespace papayalift
