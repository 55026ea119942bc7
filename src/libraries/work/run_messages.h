/// Orders to the minions that run tasks, and what they report. A run is one attempt of one task.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/work/resources.h"
#include "libraries/work/task_name.h"

namespace papayalift {

/// Rises with every leader; a minion does nothing for a lower one than it has seen.
using FencingToken = StrongNumber<struct FencingTokenTag>;
/// When a minion's life began; a new life remembers nothing. 0 where it isn't known.
using MinionIncarnation = StrongNumber<struct MinionIncarnationTag>;
/// Numbers the ends that a minion lists in one life, from 1.
using EndNumber = StrongNumber<struct EndNumberTag>;
/// A time on a minion's own steady clock.
using MinionTime = StrongNumber<struct MinionTimeTag>;

enum class MinionState { kReady, kDraining };

/// What a minion says of itself in the registry.
struct MinionEntry {
  MinionId id;
  ServiceId service;
  /// "IP:port"
  std::string address;
  ZoneId zone;
  MinionState state = MinionState::kReady;
  /// How much longer it is slow after its start.
  Milliseconds warm_up_remaining{0};
  Resources capacity;
  RackId rack;
  std::vector<std::string> labels;
  MinionIncarnation incarnation;

  bool operator==(const MinionEntry&) const = default;
};

/// To whom an order goes.
struct MinionAddress {
  MinionId id;
  std::string address;
};

struct StartOrder {
  TaskName task;
  AttemptNumber attempt;
  std::string payload;
  /// Everything on the minion is killed when its clock has passed this.
  MinionTime lease_until;
  FencingToken token;
  /// Empty to start from the beginning.
  std::string checkpoint;
};

struct StopOrder {
  TaskName task;
  AttemptNumber attempt;
  FencingToken token;
};

struct HoldOrder {
  FencingToken token;
  /// Empty while the minion's clock isn't known.
  std::optional<MinionTime> lease_until;
  /// The minion forgets the ends up to this one.
  EndNumber acknowledged;
  /// How long the answer waits for an end; 0 to answer at once.
  Milliseconds wait{0};
};

enum class OrderResult {
  kDone,
  /// A minion that has seen a higher token.
  kFenced,
  /// This attempt, or a later one, was stopped or has ended there.
  kStaleAttempt,
  /// The lease named in the order had run out.
  kLeaseExpired,
  kNoCapacity,
  /// The minion is unhealthy, is another one by now, or found the order malformed; nothing was
  /// done.
  kRefused,
  /// Not sent: nothing was done.
  kNotSent,
  /// No answer: it may have been carried out, or may be later.
  kUnclear,
};

struct OrderAnswer {
  OrderResult result = OrderResult::kUnclear;
  /// The minion's clock when it answered; empty where the answer bore none.
  std::optional<MinionTime> clock;
  std::string detail;
};

struct ActiveRun {
  TaskName task;
  AttemptNumber attempt;
  std::string checkpoint;
  int percent = 0;
};

enum class EndKind {
  kDone,
  kFailed,
  kStopped,
  /// The minion's lease ran out.
  kLeaseExpired,
  /// Another member of the gang ended.
  kGangBroken,
  /// The other members of the gang did not come in time.
  kGangIncomplete,
};

struct EndedRun {
  EndNumber number;
  TaskName task;
  AttemptNumber attempt;
  EndKind kind = EndKind::kFailed;
  std::string checkpoint;
};

struct HoldReport {
  MinionTime clock;
  MinionIncarnation incarnation;
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;
};

struct HoldAnswer {
  OrderResult result = OrderResult::kUnclear;
  HoldReport report;
  std::string detail;
};

}  // namespace papayalift
