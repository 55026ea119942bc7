/// Moves jobs of a run through their states, and their gangs on and off the fleet.
#pragma once

#include "libraries/lab/event_queue.h"
#include "libraries/lab/lab_state.h"

namespace papayalift {

class GangLifecycle {
 public:
  GangLifecycle(LabState& state, EventQueue& events) : m_state(state), m_events(events) {}

  /// At the door: refuses what can never run.
  void Submit(std::size_t index);
  void Cancel(std::size_t index);

  /// Reserves the tasks; how many of them conflict with what is held.
  int Reserve(std::size_t index, const ZoneId& zone, Claim claim,
              const std::vector<TaskPlacement>& tasks);
  void Commit(std::size_t index);
  /// Checkpoint, grace, stop; does nothing to a gang that has already ended or is stopping.
  void Stop(std::size_t index, AfterStop after);
  void FinishStop(std::size_t index);
  void Complete(std::size_t index);
  void FailAttempt(std::size_t index);
  void PassCanary(std::size_t index);
  /// The run is over: writes up what still runs.
  void CloseAttempts();

  int requeued() const { return m_requeued; }

 private:
  void AddEvent(Milliseconds delay, LabEventKind kind, std::size_t index);
  Milliseconds Remaining(std::size_t index) const;
  Milliseconds RanUntilNow(std::size_t index) const;
  /// Notes the progress of the attempt and how much of it is kept.
  void RecordProgress(std::size_t index, Milliseconds ran, Milliseconds kept);
  bool CheckpointFails(std::size_t index) const;
  Milliseconds LastPeriodicCheckpoint(Milliseconds ran) const;
  void ReleaseAccelerators(std::size_t index);
  void Requeue(std::size_t index);
  void Finish(std::size_t index, RunState end);

  LabState& m_state;
  EventQueue& m_events;
  int m_requeued = 0;
};

}  // namespace papayalift
