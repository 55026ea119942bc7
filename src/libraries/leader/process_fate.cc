#include "libraries/leader/process_fate.h"

namespace papayalift {

namespace {

const TrackedMinion* FindMinion(const LeaderState& state, const MinionId& id) {
  const auto found = state.minions.find(id);
  return found == state.minions.end() ? nullptr : &found->second;
}

}  // namespace

ProcessFate FateOfProcess(const LeaderState& state, const MinionProcess& process) {
  const TrackedMinion* const minion = FindMinion(state, process.minion);
  if (minion != nullptr) {
    const bool has_answered = minion->incarnation.value() != 0;
    if (has_answered && minion->incarnation != process.incarnation) {
      return ProcessFate::kEnded;
    }
    if (has_answered && minion->answers()) {
      return ProcessFate::kRunning;
    }
    // NOTE: a registration of an earlier process may only be out of date.
    if (minion->entry.has_value() && minion->entry->incarnation > process.incarnation) {
      return ProcessFate::kEnded;
    }
  }
  const bool is_registered = minion != nullptr && minion->entry.has_value();
  const bool has_successor = is_registered
                                 ? IsReplaced(state, process)
                                 : state.HasLaterMinionAt(process.address, process.incarnation);
  return has_successor ? ProcessFate::kEnded : ProcessFate::kUnknown;
}

bool IsReplaced(const LeaderState& state, const MinionProcess& process) {
  const TrackedMinion* const minion = FindMinion(state, process.minion);
  return minion != nullptr && minion->silence.has_value() && minion->silence->was_replaced &&
         state.HasLaterMinionAt(process.address, process.incarnation);
}

bool IsUnaccountedFor(const LeaderState& state, const MinionId& id) {
  const TrackedMinion* const minion = FindMinion(state, id);
  return minion == nullptr ||
         (!minion->entry.has_value() && !minion->answers() && !state.IsLeaving(*minion));
}

}  // namespace papayalift
