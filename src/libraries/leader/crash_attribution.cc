#include "libraries/leader/crash_attribution.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libraries/leader/process_fate.h"

namespace papayalift {

namespace {

/// Minions of a zone that vanish within this time may have vanished for one cause: the loss of some
/// is only noticed when their calls time out or their registrations expire.
constexpr Milliseconds kOutageWindow{4'000};
/// By then all minions of an outage have been noticed.
constexpr Milliseconds kMaxJudgementDelay = kOutageWindow + Milliseconds(500);
constexpr Milliseconds kCrashRetention = 2 * kMaxJudgementDelay;
/// Other minions that must have vanished for a loss to count as an outage.
constexpr int kMinOthersInOutage = 2;

/// Whether this leader knows the minion only from placements of a former one.
bool HasLeftBefore(const TrackedMinion& minion) {
  return !minion.entry.has_value() && minion.entry_revision.value() == 0 &&
         minion.incarnation.value() == 0;
}

/// When the minion was lost, if its latest process did not announce that it would end.
std::optional<Milliseconds> VanishedAt(const LeaderState& state, const TrackedMinion& minion) {
  if (state.IsLeaving(minion)) {
    return std::nullopt;
  }
  const bool is_since_silence = minion.silence.has_value() && !HasLeftBefore(minion);
  return is_since_silence ? std::optional<Milliseconds>(minion.silence->since) : minion.vanished_at;
}

/// The silence in which the minion may have lost its runs.
const std::optional<MinionSilence>& SilenceOf(const TrackedMinion& minion) {
  return minion.silence.has_value() ? minion.silence : minion.previous_silence;
}

/// Whether the minion may have crashed at the run's start; this is not known of a run that a
/// previous leader started.
bool MayHaveCrashedIt(const TrackedRun& run, const std::optional<MinionSilence>& silence) {
  const bool outlived_start = run.orders_sent > 0 && silence.has_value() &&
                              silence->since - run.ordered_at >= kStartProbation;
  return !run.has_outlived_start && !outlived_start;
}

/// Whether the process that the run was on has announced its end.
bool IsEndPlanned(const LeaderState& state, const TrackedRun& run) {
  return state.planned_ends.IsAnnounced(run.minion, run.incarnation);
}

MinionProcess ProcessOf(const TrackedMinion& minion, const TrackedRun& run) {
  return MinionProcess{minion.id, run.incarnation, minion.address};
}

/// Whether that silence gives reason to think that the process has ended: the host refused
/// connections, or another minion answered. The process may only be cut off all the same.
bool MayHaveEnded(const std::optional<MinionSilence>& silence) {
  return silence.has_value() && (silence->was_refused || silence->was_replaced);
}

bool IsNear(Milliseconds left, Milliseconds right) {
  return std::max(left, right) - std::min(left, right) <= kOutageWindow;
}

}  // namespace

bool CrashAttribution::RecordLoss(const LeaderState& state, const TrackedMinion& minion,
                                  const TrackedRun& run, Milliseconds now) {
  const std::optional<MinionSilence>& silence = SilenceOf(minion);
  const bool may_have_ended = FateOfProcess(state, ProcessOf(minion, run)) == ProcessFate::kEnded ||
                              MayHaveEnded(silence) || HasLeftBefore(minion);
  // A run whose gang is broken has ended before its minion's process, for all that is known.
  if (IsEndPlanned(state, run) || run.is_gang_broken || !may_have_ended ||
      !MayHaveCrashedIt(run, silence)) {
    return false;
  }
  const bool is_start_known = run.orders_sent > 0;
  const bool is_confirmed = is_start_known && run.answered_at.has_value();
  AddSuspect(state, minion, run,
             Suspect{run.task, run.attempt, is_start_known, is_confirmed, false}, now);
  return true;
}

std::optional<LateLoss> CrashAttribution::RecordLateLoss(const LeaderState& state,
                                                         const TrackedMinion& minion,
                                                         const TrackedRun& run, bool is_counted,
                                                         Milliseconds now) {
  const std::optional<MinionSilence>& silence = SilenceOf(minion);
  const bool has_ended = FateOfProcess(state, ProcessOf(minion, run)) == ProcessFate::kEnded;
  if (IsEndPlanned(state, run) || run.is_gang_broken || (!has_ended && !MayHaveEnded(silence)) ||
      MayHaveCrashedIt(run, silence)) {
    return std::nullopt;
  }
  const Milliseconds lost_at = VanishedAt(state, minion).value_or(now);
  if (lost_at - run.running_since.value_or(lost_at) >= kMaxLateCrash) {
    return std::nullopt;
  }
  const std::optional<Milliseconds> started_at =
      run.orders_sent > 0 ? std::optional<Milliseconds>(run.ordered_at) : run.placed_before_at;
  LateLoss loss{minion.address, std::nullopt, has_ended};
  if (started_at.has_value() && lost_at > *started_at) {
    loss.ran_for = lost_at - *started_at;
  }
  AddSuspect(state, minion, run,
             Suspect{run.task, run.attempt, run.orders_sent > 0, true, true,
                     is_counted && has_ended, loss.ran_for},
             now);
  return loss;
}

void CrashAttribution::AddSuspect(const LeaderState& state, const TrackedMinion& minion,
                                  const TrackedRun& run, Suspect suspect, Milliseconds now) {
  Crash& crash = FindOrAdd(state, minion, run, now);
  const std::optional<MinionSilence>& silence = SilenceOf(minion);
  crash.was_host_up = crash.was_host_up || (silence.has_value() && silence->was_refused);
  crash.has_left_before = HasLeftBefore(minion);
  crash.suspects.push_back(std::move(suspect));
}

CrashAttribution::Crash& CrashAttribution::FindOrAdd(const LeaderState& state,
                                                     const TrackedMinion& minion,
                                                     const TrackedRun& run, Milliseconds now) {
  const auto [found, is_new] = m_crashes.try_emplace({minion.id, run.incarnation});
  Crash& crash = found->second;
  if (is_new) {
    crash.minion = minion.id;
    crash.incarnation = run.incarnation;
    crash.zone = minion.zone;
    crash.address = minion.address;
    crash.at = VanishedAt(state, minion).value_or(now);
  }
  return crash;
}

std::vector<JudgedRun> CrashAttribution::TakeJudged(const LeaderState& state, JudgementScope scope,
                                                    Milliseconds now) {
  std::vector<JudgedRun> judged;
  const std::map<ZoneId, std::vector<MinionFate>> fates = CollectFates(state);
  for (auto& [key, crash] : m_crashes) {
    if (crash.judged_suspects == crash.suspects.size() ||
        (scope == JudgementScope::kDeferred && !crash.is_deferred)) {
      continue;
    }
    const ZoneHealth health = HealthAround(fates.at(crash.zone), crash);
    const bool is_complete = IsSettled(crash, health) && !HasUnresolvedRuns(state, crash);
    if (!is_complete && now - crash.at < kMaxJudgementDelay) {
      continue;
    }
    const std::optional<CrashCause> cause = CauseBesideStarts(state, crash, health);
    if (scope == JudgementScope::kNoAccusations && !cause.has_value()) {
      crash.is_deferred = true;
      continue;
    }
    AppendSuspects(crash, cause, judged);
    crash.judged_suspects = crash.suspects.size();
  }
  std::erase_if(m_crashes, [now](const auto& entry) {
    const Crash& crash = entry.second;
    return crash.judged_suspects == crash.suspects.size() && now - crash.at > kCrashRetention;
  });
  return judged;
}

bool CrashAttribution::HasUnresolvedRuns(const LeaderState& state, const Crash& crash) {
  const auto minion = state.minions.find(crash.minion);
  return minion != state.minions.end() &&
         std::any_of(minion->second.runs.begin(), minion->second.runs.end(),
                     [&crash](const auto& entry) {
                       return entry.second.incarnation == crash.incarnation &&
                              !entry.second.has_outlived_start;
                     });
}

std::optional<CrashCause> CrashAttribution::CauseBesideStarts(const LeaderState& state,
                                                              const Crash& crash,
                                                              const ZoneHealth& health) {
  if (state.planned_ends.IsAnnounced(crash.minion, crash.incarnation)) {
    return CrashCause::kPlanned;
  }
  if (IsOutage(crash, health)) {
    return CrashCause::kOutage;
  }
  if (FateOfProcess(state, MinionProcess{crash.minion, crash.incarnation, crash.address}) ==
      ProcessFate::kEnded) {
    return std::nullopt;
  }
  return CrashCause::kOpen;
}

void CrashAttribution::AppendSuspects(const Crash& crash,
                                      std::optional<CrashCause> cause_beside_starts,
                                      std::vector<JudgedRun>& judged) {
  std::set<JobId> started_jobs;
  for (const Suspect& suspect : crash.suspects) {
    if (!suspect.is_late) {
      started_jobs.insert(suspect.task.job);
    }
  }
  for (std::size_t index = crash.judged_suspects; index < crash.suspects.size(); ++index) {
    const Suspect& suspect = crash.suspects[index];
    const bool is_one_job = started_jobs.size() == 1 && suspect.is_confirmed;
    const CrashCause start_cause = is_one_job ? CrashCause::kOneJob : CrashCause::kUncertain;
    const CrashCause own_cause = suspect.is_late ? CrashCause::kLate : start_cause;
    JudgedRun run{suspect.task, suspect.attempt, crash.minion, crash.address, own_cause};
    run.incarnation = crash.incarnation;
    // A minion that had left before this term may have left as planned, so its loss is no reason to
    // keep the task from others at once.
    run.cause_if_ended = crash.has_left_before ? CrashCause::kLate : own_cause;
    run.cause = cause_beside_starts.value_or(own_cause);
    run.is_counted = suspect.is_counted;
    run.ran_for = suspect.ran_for;
    judged.push_back(std::move(run));
  }
}

const CrashAttribution::Crash* CrashAttribution::FindNear(const MinionId& minion,
                                                          Milliseconds at) const {
  const auto begin = m_crashes.lower_bound({minion, MinionIncarnation(0)});
  for (auto found = begin; found != m_crashes.end() && found->first.first == minion; ++found) {
    if (IsNear(found->second.at, at)) {
      return &found->second;
    }
  }
  return nullptr;
}

std::map<ZoneId, std::vector<CrashAttribution::MinionFate>> CrashAttribution::CollectFates(
    const LeaderState& state) const {
  std::map<ZoneId, std::vector<MinionFate>> fates;
  for (const auto& [key, crash] : m_crashes) {
    if (crash.judged_suspects < crash.suspects.size()) {
      fates[crash.zone];
    }
  }
  if (fates.empty()) {
    return fates;
  }
  for (const auto& [id, minion] : state.minions) {
    if (const auto zone = fates.find(minion.zone); zone != fates.end()) {
      zone->second.push_back(FateOf(state, minion));
    }
  }
  return fates;
}

CrashAttribution::MinionFate CrashAttribution::FateOf(const LeaderState& state,
                                                      const TrackedMinion& minion) const {
  MinionFate fate;
  fate.id = minion.id;
  fate.registered_at = minion.registered_at;
  fate.heard_at = std::max(minion.entry_heard_at, minion.last_report_at);
  fate.is_expected = minion.entry.has_value() && !state.IsLeaving(minion);
  fate.vanished_at = VanishedAt(state, minion);
  if (fate.vanished_at.has_value()) {
    if (!minion.silence.has_value() && minion.registered_at > *fate.vanished_at) {
      fate.back_at = minion.registered_at;
    }
    AddExplanation(minion, fate);
  }
  return fate;
}

void CrashAttribution::AddExplanation(const TrackedMinion& minion, MinionFate& fate) const {
  if (const Crash* const crash = FindNear(minion.id, *fate.vanished_at); crash != nullptr) {
    fate.was_host_up = crash->was_host_up;
    fate.is_explained = std::any_of(
        crash->suspects.begin(), crash->suspects.end(),
        [](const Suspect& suspect) { return suspect.is_start_known && !suspect.is_late; });
    return;
  }
  // The minion's runs may not have been given up yet.
  fate.was_host_up = minion.silence.has_value() && minion.silence->was_refused;
  fate.is_explained = fate.was_host_up &&
                      std::any_of(minion.runs.begin(), minion.runs.end(), [](const auto& entry) {
                        return entry.second.orders_sent > 0 && !entry.second.has_outlived_start;
                      });
}

CrashAttribution::ZoneHealth CrashAttribution::HealthAround(const std::vector<MinionFate>& fates,
                                                            const Crash& crash) {
  ZoneHealth health;
  for (const MinionFate& fate : fates) {
    // A minion that registered later may have replaced one that vanished.
    if (fate.id == crash.minion || fate.registered_at > crash.at) {
      continue;
    }
    const bool was_back = fate.back_at.has_value() && *fate.back_at < crash.at;
    if (fate.vanished_at.has_value() && IsNear(*fate.vanished_at, crash.at) && !was_back) {
      // Hosts that were both without power were not brought down by a task.
      const bool is_own_crash = fate.is_explained && (crash.was_host_up || fate.was_host_up);
      health.vanished += is_own_crash ? 0 : 1;
    } else if (fate.heard_at > crash.at) {
      ++health.sound;
    } else if (fate.is_expected) {
      ++health.unknown;
    }
  }
  return health;
}

bool CrashAttribution::IsSettled(const Crash& crash, const ZoneHealth& health) {
  const ZoneHealth if_vanished{health.vanished + health.unknown, health.sound, 0};
  const ZoneHealth if_sound{health.vanished, health.sound + health.unknown, 0};
  return IsOutage(crash, if_vanished) == IsOutage(crash, if_sound);
}

bool CrashAttribution::IsOutage(const Crash& crash, const ZoneHealth& health) {
  return health.vanished >= kMinOthersInOutage &&
         (!crash.was_host_up || health.vanished >= health.sound);
}

}  // namespace papayalift
