#include "libraries/lab/work_meter.h"

#include "libraries/lab/accelerator_hours.h"

namespace papayalift {

namespace {

using Span = Milliseconds (*)(const TimeWindows& windows, Milliseconds from, Milliseconds until);

Milliseconds WholeSpan(const TimeWindows& /*windows*/, Milliseconds from, Milliseconds until) {
  return until - from;
}

Milliseconds SpanInside(const TimeWindows& windows, Milliseconds from, Milliseconds until) {
  return windows.Overlap(from, until);
}

void AddAttempt(const AttemptWork& work, RunState end, AcceleratorCount size,
                const TimeWindows& windows, Span span, WorkTally& tally) {
  const Milliseconds kept_until = work.ran_from + work.kept;
  const Milliseconds ran_until = work.ran_from + work.ran;
  const double held = AcceleratorHours(size, span(windows, work.held_from, work.held_until));
  const double kept = AcceleratorHours(size, span(windows, work.ran_from, kept_until));
  const double lost = AcceleratorHours(size, span(windows, kept_until, ran_until));
  tally.held += held;
  tally.lost += lost;
  tally.overhead += held - kept - lost;
  (end == RunState::kCancelled ? tally.cancelled : tally.useful) += kept;
  tally.repeated +=
      AcceleratorHours(size, span(windows, work.ran_from, work.ran_from + work.repeated));
}

}  // namespace

void WorkMeter::Add(const JobRun& run, AcceleratorCount size) {
  for (const AttemptWork& work : run.work) {
    AddAttempt(work, run.state, size, m_zone_changes, WholeSpan, m_total);
    AddAttempt(work, run.state, size, m_zone_changes, SpanInside, m_in_zone_changes);
  }
}

}  // namespace papayalift
