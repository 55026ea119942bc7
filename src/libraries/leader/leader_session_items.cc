#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "libraries/base/hash.h"
#include "libraries/journal/accepted_job_codec.h"
#include "libraries/journal/job_progress_codec.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/leader/leader_session.h"
#include "libraries/log/log_event.h"

namespace papayalift {

void LeaderSession::ApplyProgressItems(const ReadAnswer& answer) {
  for (const StoreItem& item : answer.items) {
    const std::optional<JobId> id = ParseProgressKey(item.key);
    absl::StatusOr<JobProgress> progress = DecodeJobProgress(item.value);
    if (!id.has_value() || !progress.ok()) {
      LogEvent(LogLevel::kError, "leader", "a progress record can't be decoded")
          .Field("key", item.key)
          .Reason(progress.ok() ? "its key names no job" : std::string(progress.status().message()))
          .Write();
      continue;
    }
    TrackedJob& job = m_state.jobs[*id];
    job.progress = *std::move(progress);
    job.progress_revision = item.revision;
    job.is_end_stored = HasEnded(job.progress.state);
  }
}

void LeaderSession::ApplyAcceptedItems(const ReadAnswer& answer) {
  for (const StoreItem& item : answer.items) {
    ApplyAcceptedItem(item);
  }
}

void LeaderSession::ApplyAcceptedChange(const WatchedChange& change) {
  if (change.kind == WriteKind::kPut) {
    ApplyAcceptedItem(change.item);
  }
}

void LeaderSession::ApplyAcceptedItem(const StoreItem& item) {
  const std::optional<ParsedAcceptedKey> name = ParseAcceptedKey(item.key);
  if (!name.has_value() || IsOfRemovedJob(name->job, item)) {
    return;
  }
  if (name->kind == AcceptedKeyKind::kCancel) {
    TrackedJob& job = m_state.jobs[name->job];
    if (!job.is_cancelled) {
      job.is_cancelled = true;
      job.cancelled_since = Now();
      if (m_has_started) {
        Cancel(job);
      }
    }
    return;
  }
  absl::StatusOr<AcceptedJob> accepted = DecodeAcceptedJob(item.value);
  if (!accepted.ok()) {
    LogEvent(LogLevel::kError, "leader", "an accepted job can't be decoded")
        .Job(name->job)
        .Reason(std::string(accepted.status().message()))
        .Write();
    m_state.jobs[name->job].accepted_revision = item.revision;
    return;
  }
  TrackedJob& job = m_state.jobs[name->job];
  if (!job.accepted.id.empty() || job.is_record_gone) {
    if (item.revision > job.accepted_revision) {
      job.resubmission = item;
    }
    return;
  }
  job.accepted = *std::move(accepted);
  job.accepted_revision = item.revision;
  job.known_since = Now();
  if (job.progress_revision.value() == 0) {
    job.progress = InitialProgress(job.accepted);
  }
  if (job.is_cancelled && m_has_started) {
    Cancel(job);
  }
  SchedulePlan();
}

bool LeaderSession::HasNewEntries(const ReadAnswer& answer) {
  return std::any_of(answer.items.begin(), answer.items.end(), [this](const StoreItem& item) {
    const TrackedMinion* const known = m_state.FindMinion(m_context.schema.MinionOfKey(item.key));
    return known == nullptr || item.revision > known->entry_revision;
  });
}

void LeaderSession::ApplyMinionItems(const ReadAnswer& answer) {
  if (HasNewEntries(answer)) {
    m_state.registry_heard_at = Now();
  }
  std::unordered_set<std::string_view> listed_keys;
  for (const StoreItem& item : answer.items) {
    listed_keys.insert(item.key);
  }
  for (auto& [id, minion] : m_state.minions) {
    if (minion.entry.has_value() && !listed_keys.contains(m_context.schema.MinionKey(id))) {
      UnlistMinion(id);
    }
  }
  for (const StoreItem& item : answer.items) {
    ApplyMinionItem(item);
  }
}

void LeaderSession::ApplyMinionChange(const WatchedChange& change) {
  if (change.kind == WriteKind::kDelete) {
    UnlistMinion(m_context.schema.MinionOfKey(change.item.key));
  } else {
    m_state.registry_heard_at = Now();
    ApplyMinionItem(change.item);
  }
}

void LeaderSession::ApplyMinionItem(const StoreItem& item) {
  const MinionId id = m_context.schema.MinionOfKey(item.key);
  const std::uint64_t hash = Hash64(m_context.schema.WithoutCounters(item.value));
  if (TrackedMinion* const known = m_state.FindMinion(id);
      known != nullptr && known->entry.has_value() && known->entry_hash == hash) {
    if (item.revision > known->entry_revision) {
      m_state.has_heartbeats = true;
      known->entry_revision = item.revision;
      known->entry_heard_at = Now();
    }
    return;
  }
  absl::StatusOr<MinionEntry> entry = m_context.schema.DecodeMinion(id, item.value);
  if (entry.ok() && !IsNamed(entry->service)) {
    // Another writer's: neither its address nor its start says anything of the minion of this id.
    entry = absl::NotFoundError("no manifest names its service");
  }
  if (!entry.ok()) {
    LogEvent(LogLevel::kWarning, "leader", "a registration can't be used")
        .Field("minion", id.text())
        .Reason(std::string(entry.status().message()))
        .Write();
    UnlistMinion(id);
    return;
  }
  ObserveAnnouncement(*entry, "registry");
  if (m_state.planned_ends.IsAnnounced(id, entry->incarnation)) {
    // The entry may have been written before the announcement and carried out late.
    entry->state = MinionState::kDraining;
  }
  TrackedMinion& minion = m_state.minions[id];
  if (item.revision < minion.entry_revision) {
    return;
  }
  if (minion.entry.has_value() && minion.entry->state != entry->state) {
    LogEvent(LogLevel::kInfo, "leader", "minion changed its state")
        .Field("minion", id.text())
        .Field("state", entry->state == MinionState::kReady ? "ready" : "draining")
        .Write();
  }
  const bool is_new_life = minion.incarnation != entry->incarnation;
  const MinionIncarnation registered_before =
      minion.entry.has_value() ? minion.entry->incarnation : MinionIncarnation(0);
  const bool is_registration = !minion.entry.has_value() || registered_before != entry->incarnation;
  if (is_registration) {
    minion.registered_at = Now();
  }
  if (is_registration && minion.entry.has_value() &&
      !m_state.planned_ends.IsAnnounced(id, registered_before)) {
    minion.vanished_at = minion.entry_heard_at;
  }
  if (is_registration) {
    minion.latest_process = entry->incarnation;
  }
  minion.id = id;
  minion.zone = entry->zone;
  minion.address = entry->address;
  minion.entry = *std::move(entry);
  minion.host = HostIdentityOf(*minion.entry);
  m_state.host_speeds.Confirm(minion.host);
  minion.entry_revision = item.revision;
  minion.entry_hash = hash;
  minion.entry_heard_at = Now();
  if (is_registration && m_has_started) {
    LogRegistration(minion, registered_before);
  }
  if ((is_new_life || is_registration) && m_has_started) {
    m_supervisor->RequestHold(minion);
  }
  SchedulePlan();
}

bool LeaderSession::IsNamed(const ServiceId& service) const {
  const std::shared_ptr<const FleetManifest> manifest = m_context.view.manifest();
  return manifest == nullptr || manifest->services.contains(service) ||
         std::any_of(m_state.jobs.begin(), m_state.jobs.end(), [&service](const auto& entry) {
           return entry.second.accepted.service == service;
         });
}

void LeaderSession::LogRegistration(const TrackedMinion& minion, MinionIncarnation previous) const {
  LogEvent(LogLevel::kInfo, "leader", "minion registered")
      .Zone(minion.entry->zone)
      .Field("minion", minion.id.text())
      .Field("address", minion.address)
      .Field("rack", minion.entry->rack.text())
      .Field("incarnation", minion.entry->incarnation.value())
      .Field("previous_incarnation", previous.value())
      .Field("reported_incarnation", minion.incarnation.value())
      .Field("warm_up_ms", minion.entry->warm_up_remaining.count())
      .Field("runs", static_cast<std::int64_t>(minion.runs.size()))
      .Write();
}

void LeaderSession::UnlistMinion(const MinionId& id) {
  TrackedMinion* const minion = m_state.FindMinion(id);
  if (minion != nullptr && minion->entry.has_value()) {
    if (!m_state.planned_ends.IsAnnounced(id, minion->entry->incarnation)) {
      minion->vanished_at = minion->entry_heard_at;
    }
    LogEvent(LogLevel::kInfo, "leader", "minion left the registry")
        .Zone(minion->entry->zone)
        .Field("minion", id.text())
        .Field("rack", minion->entry->rack.text())
        .Field("draining", minion->entry->state == MinionState::kDraining ? 1 : 0)
        .Field("runs", static_cast<std::int64_t>(minion->runs.size()))
        .Field("heard_ms", (Now() - minion->entry_heard_at).count())
        .Field("failed_calls", minion->unanswered_calls)
        .Write();
    minion->entry.reset();
  }
}

void LeaderSession::ApplyOperatorItems(const ReadAnswer& answer) {
  std::set<ZoneId> evacuated_zones;
  for (const StoreItem& item : answer.items) {
    if (item.key == m_context.schema.ManifestKey()) {
      m_context.view.Adopt(item);
    } else if (const std::optional<ZoneId> zone = m_context.schema.EvacuatedZone(item.key)) {
      evacuated_zones.insert(*zone);
    }
  }
  m_state.evacuated_zones = std::move(evacuated_zones);
}

void LeaderSession::ApplyOperatorChange(const WatchedChange& change) {
  if (change.item.key == m_context.schema.ManifestKey()) {
    if (change.kind == WriteKind::kPut) {
      m_context.view.Adopt(change.item);
      // It may name a service that registrations were left out for.
      RereadRegistry();
    }
    return;
  }
  const std::optional<ZoneId> zone = m_context.schema.EvacuatedZone(change.item.key);
  if (!zone.has_value()) {
    return;
  }
  LogEvent(LogLevel::kInfo, "leader",
           change.kind == WriteKind::kPut ? "zone evacuated" : "zone taken back")
      .Zone(*zone)
      .Field("revision", change.item.revision.value())
      .Write();
  if (change.kind == WriteKind::kPut) {
    m_state.evacuated_zones.insert(*zone);
  } else {
    m_state.evacuated_zones.erase(*zone);
  }
  SchedulePlan();
}

}  // namespace papayalift
