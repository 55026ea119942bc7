/// Learns how long the tasks of each queue take on a usual machine, and how far their estimates are
/// off.
#pragma once

#include <map>
#include <optional>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/work/fleet_manifest.h"

namespace papayalift {

/// All values are natural logarithms, of times in milliseconds or of ratios.
struct QueueDuration {
  double mean_duration = 0;
  /// Mean absolute deviation from the mean duration.
  double duration_spread = 0;
  /// Mean absolute logarithm of the ratio of duration to estimate.
  double estimate_error = 0;
  /// Number of observations that it rests on, bounded.
  double weight = 0;
};

class QueueDurations {
 public:
  /// Records a task that has taken as long as `duration` on a machine of the speed, 1 being usual.
  void Record(const QueueId& queue, Milliseconds estimate, Milliseconds duration, double speed);

  /// Takes over what a former leader has learned of a queue, unless more is known.
  void Restore(const QueueId& queue, const QueueDuration& known);

  /// The typical duration of the queue's tasks on a usual machine, where that is far nearer to what
  /// tasks take than their estimates are; nullopt where estimates are to be used.
  std::optional<Milliseconds> TypicalDuration(const QueueId& queue) const;

  const std::map<QueueId, QueueDuration>& queues() const { return m_queues; }

 private:
  std::map<QueueId, QueueDuration> m_queues;
};

}  // namespace papayalift
