/// State transitions of the jobs of a run, and placement of their gangs on the fleet.
#pragma once

#include "libraries/lab/event_queue.h"
#include "libraries/lab/lab_state.h"

namespace papayalift {

class GangLifecycle {
 public:
  GangLifecycle(LabState& state, EventQueue& events) : m_state(state), m_events(events) {}

  /// Queues the job, or refuses it at admission if it can never run.
  void Submit(std::size_t index);
  void Cancel(std::size_t index);

  /// Reserves accelerators for the tasks. Returns the number of conflicting tasks, see
  /// FakeFleet::Hold.
  int Reserve(std::size_t index, const ZoneId& zone, Claim claim,
              const std::vector<TaskPlacement>& tasks);
  void Commit(std::size_t index);
  /// Takes a checkpoint and stops the gang after the grace period. Has no effect on a gang whose
  /// work is complete; for a stopping gang, only a cancellation is recorded.
  void Stop(std::size_t index, AfterStop after);
  void FinishStop(std::size_t index);
  void Complete(std::size_t index);
  void FailAttempt(std::size_t index);
  void PassCanary(std::size_t index);
  /// Records the work of gangs that still hold accelerators at the end of the run.
  void CloseAttempts();

  int requeued() const { return m_requeued; }

 private:
  void AddEvent(Milliseconds delay, LabEventKind kind, std::size_t index);
  Milliseconds Remaining(std::size_t index) const;
  Milliseconds RanUntilNow(std::size_t index) const;
  /// Records the progress of the attempt and the part of it that is kept.
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
