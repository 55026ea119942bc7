/// Decides which tasks have crashed the minions that started them. Load that it answers: a task
/// whose start ends the minion's process each time would otherwise take one minion after another
/// down, together with the work beside it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/leader/crash_counts.h"
#include "libraries/leader/leader_state.h"

namespace papayalift {

/// What a minion's process is taken to have ended of.
enum class CrashCause {
  /// Only tasks of one job had just started there, and the minion had confirmed this one.
  kOneJob,
  /// Tasks of several jobs had just started there, or the minion may have ended before the start.
  kUncertain,
  /// Other minions of the zone were lost at the same time.
  kOutage,
  /// The process had announced that it would end.
  kPlanned,
  /// The task had run for some time, so that the minion may have failed by itself.
  kLate,
  /// Nothing shows yet whether the process has crashed. Its host refused connections, as one that
  /// is cut off may as well, or the minion had left the registry before this leader began, perhaps
  /// as planned. What crashes comes back at its address, and what leaves as planned does not.
  kOpen,
};

/// Which suspects may be judged.
enum class JudgementScope {
  kAll,
  /// Not those that would be accused: their processes may have announced their ends.
  kNoAccusations,
  /// Those that were passed over for that reason.
  kDeferred,
};

/// The judgement of one run that was lost when its minion's process ended.
struct JudgedRun {
  TaskName task;
  AttemptNumber attempt;
  MinionId minion;
  /// The minion's address, which the one that comes back has as well.
  std::string address;
  CrashCause cause = CrashCause::kOneJob;
  MinionIncarnation incarnation{};
  /// The cause if the process has ended; only differs from `cause` while that is open, or if the
  /// process ended of something else.
  CrashCause cause_if_ended = CrashCause::kOneJob;
  /// The loss was already counted when it was recorded.
  bool is_counted = false;
  /// How long a run that had outlived its start had run, if that is known.
  std::optional<Milliseconds> ran_for = std::nullopt;
};

class CrashAttribution {
 public:
  /// To be called with every run that is lost. Returns whether the run is a suspect, which will be
  /// judged: its minion's process has ended, or may have, and the run had not outlived its start.
  bool RecordLoss(const LeaderState& state, const TrackedMinion& minion, const TrackedRun& run,
                  Milliseconds now);

  /// As RecordLoss(), for a run that had outlived its start, but not for so long that the crash
  /// says nothing about it. The suspect is judged as `is_counted` says; none counts before its
  /// process is known to have ended.
  std::optional<LateLoss> RecordLateLoss(const LeaderState& state, const TrackedMinion& minion,
                                         const TrackedRun& run, bool is_counted, Milliseconds now);

  /// The suspects that can be judged by now, each once.
  std::vector<JudgedRun> TakeJudged(const LeaderState& state, JudgementScope scope,
                                    Milliseconds now);

 private:
  struct Suspect {
    TaskName task;
    AttemptNumber attempt;
    /// This leader sent the start and so knows its time.
    bool is_start_known = false;
    /// The minion has confirmed the start, so it was alive when it got the order.
    bool is_confirmed = false;
    /// The run had outlived its start.
    bool is_late = false;
    bool is_counted = false;
    std::optional<Milliseconds> ran_for = std::nullopt;
  };

  /// The end of one incarnation of a minion.
  struct Crash {
    MinionId minion;
    MinionIncarnation incarnation;
    ZoneId zone;
    std::string address;
    Milliseconds at{0};
    /// The minion's host refused connections; a host without power would not have answered.
    bool was_host_up = false;
    /// This leader knows the minion only from placements of a former one.
    bool has_left_before = false;
    std::vector<Suspect> suspects;
    /// Its suspects could have been judged, but were not to be accused yet.
    bool is_deferred = false;
    /// Number of the first suspects that are judged. Others may be recorded after that.
    std::size_t judged_suspects = 0;
  };

  /// How the other minions of the zone fared when one crashed.
  struct ZoneHealth {
    /// Lost at about the same time for no cause of their own.
    int vanished = 0;
    /// Heard from since.
    int sound = 0;
    /// Neither lost nor heard from since.
    int unknown = 0;
  };

  /// What is known of one minion of a zone in which another has crashed.
  struct MinionFate {
    MinionId id;
    Milliseconds registered_at{0};
    Milliseconds heard_at{0};
    /// Listed in the registry, and not draining.
    bool is_expected = false;
    std::optional<Milliseconds> vanished_at;
    /// When it started anew after that, as long as it answers.
    std::optional<Milliseconds> back_at;
    /// It has, or may have, crashed because of a start on it.
    bool is_explained = false;
    bool was_host_up = false;
  };

  void AddSuspect(const LeaderState& state, const TrackedMinion& minion, const TrackedRun& run,
                  Suspect suspect, Milliseconds now);
  Crash& FindOrAdd(const LeaderState& state, const TrackedMinion& minion, const TrackedRun& run,
                   Milliseconds now);
  const Crash* FindNear(const MinionId& minion, Milliseconds at) const;
  /// The minions of all zones with crashes that are to be judged. Collected once for all crashes: a
  /// lost zone may have many.
  std::map<ZoneId, std::vector<MinionFate>> CollectFates(const LeaderState& state) const;
  MinionFate FateOf(const LeaderState& state, const TrackedMinion& minion) const;
  void AddExplanation(const TrackedMinion& minion, MinionFate& fate) const;
  static ZoneHealth HealthAround(const std::vector<MinionFate>& fates, const Crash& crash);
  /// Whether runs of the crashed process are still tracked, and may become suspects.
  static bool HasUnresolvedRuns(const LeaderState& state, const Crash& crash);
  static bool IsOutage(const Crash& crash, const ZoneHealth& health);
  /// Whether the minions that are neither lost nor heard from can't change what IsOutage() says.
  static bool IsSettled(const Crash& crash, const ZoneHealth& health);
  /// What ended the process, as far as it does not depend on the suspect; nullopt if a start may
  /// have.
  static std::optional<CrashCause> CauseBesideStarts(const LeaderState& state, const Crash& crash,
                                                     const ZoneHealth& health);
  static void AppendSuspects(const Crash& crash, std::optional<CrashCause> cause_beside_starts,
                             std::vector<JudgedRun>& judged);

  std::map<std::pair<MinionId, MinionIncarnation>, Crash> m_crashes;
};

}  // namespace papayalift
