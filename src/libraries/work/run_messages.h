/// Orders to the minions that run tasks, and their reports. A run is one attempt of one task.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/work/resources.h"
#include "libraries/work/task_name.h"

namespace papayalift {

/// Increases with every leader, and during a term with every new process of a minion. A minion
/// rejects orders with a lower token than it has seen.
using FencingToken = StrongNumber<struct FencingTokenTag>;
/// Start time of a minion's process; a restarted minion keeps no state. 0 if it is not known.
using MinionIncarnation = StrongNumber<struct MinionIncarnationTag>;
/// Number of a heartbeat in the order of its process's heartbeats.
using HeartbeatNumber = StrongNumber<struct HeartbeatNumberTag>;
/// Sequence number of an ended run that a minion reports, from 1 in each incarnation.
using EndNumber = StrongNumber<struct EndNumberTag>;
/// A time on a minion's own steady clock.
using MinionTime = StrongNumber<struct MinionTimeTag>;

enum class MinionState { kReady, kDraining };

/// A minion's registration.
struct MinionEntry {
  MinionId id;
  ServiceId service;
  /// "IP:port"
  std::string address;
  ZoneId zone;
  MinionState state = MinionState::kReady;
  /// How much longer the minion is slow after its start.
  Milliseconds warm_up_remaining{0};
  Resources capacity;
  RackId rack;
  std::vector<std::string> labels;
  MinionIncarnation incarnation;
  /// The heartbeat that wrote the entry.
  HeartbeatNumber heartbeat;

  bool operator==(const MinionEntry&) const = default;
};

/// Destination of an order.
struct MinionAddress {
  MinionId id;
  std::string address;
};

struct StartOrder {
  TaskName task;
  AttemptNumber attempt;
  std::string payload;
  /// The minion kills all its runs when its clock passes this time.
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

/// Renews a minion's lease, acknowledges ends and requests a report.
struct HoldOrder {
  FencingToken token;
  /// Empty while the minion's clock is not known.
  std::optional<MinionTime> lease_until;
  /// The minion stops reporting the ends up to this one.
  EndNumber acknowledged;
  /// How long the minion may wait for a run to end before it answers; 0 to answer at once.
  Milliseconds wait{0};
  /// If set, it is only sent over a connection that was established by then, and ends as kNotSent
  /// if none is kept.
  std::optional<Milliseconds> connection_opened_by = std::nullopt;
};

enum class OrderResult {
  kDone,
  /// Rejected: the minion has seen a higher token.
  kFenced,
  /// Rejected: this attempt, or a later one, was stopped or has ended on the minion.
  kStaleAttempt,
  /// Rejected: the lease named in the order had expired.
  kLeaseExpired,
  kNoCapacity,
  /// Rejected without effect: the minion is unhealthy, or the order is malformed.
  kRefused,
  /// Rejected without effect: the address belongs to another minion by now.
  kOtherMinion,
  /// The order was not sent and had no effect.
  kNotSent,
  /// As kNotSent, because no process listens at the minion's address.
  kNoListener,
  /// No answer: the order may have been executed, or may still be.
  kUnclear,
};

struct OrderAnswer {
  OrderResult result = OrderResult::kUnclear;
  /// The minion's clock when it answered; empty if the answer did not contain it.
  std::optional<MinionTime> clock;
  std::string detail;
  /// When the connection that the order was sent over was established; empty if that is not known.
  std::optional<Milliseconds> connection_opened_at = std::nullopt;
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
  /// The minion's lease expired.
  kLeaseExpired,
  /// Another member of the gang ended.
  kGangBroken,
  /// The other members of the gang did not start in time.
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
  /// False if the minion may have more ends than it returns at a time. A run that is not listed may
  /// then be among these.
  bool lists_all_ends = true;
};

struct HoldAnswer {
  OrderResult result = OrderResult::kUnclear;
  HoldReport report;
  std::string detail;
  /// As in OrderAnswer.
  std::optional<Milliseconds> connection_opened_at;
};

}  // namespace papayalift
