#include "libraries/leader/queue_durations.h"

#include <algorithm>
#include <cmath>

namespace papayalift {

namespace {

/// Further queues are not learned.
constexpr std::size_t kMaxQueues = 256;
/// A new observation counts at least 1 / (kMaxWeight + 1).
constexpr double kMaxWeight = 50;
/// Fewer observations replace no estimate.
constexpr double kMinWeight = 12;
/// Estimates are off a lot beyond a factor of 1.5: the objective of urgent work allows for no more.
const double kMaxEstimateErrorLog = std::log(1.5);
/// The typical duration replaces estimates only if it is off by much less.
constexpr double kMaxSpreadShare = 0.6;
/// One observation, such as a straggler, is taken to be off by at most this factor.
const double kMaxDeviationLog = std::log(3.0);

void Move(double& mean, double observed, double weight) { mean += (observed - mean) / weight; }

}  // namespace

void QueueDurations::Record(const QueueId& queue, Milliseconds estimate, Milliseconds duration,
                            double speed) {
  if (estimate <= Milliseconds(0) || duration <= Milliseconds(0) || speed <= 0 ||
      (m_queues.size() >= kMaxQueues && !m_queues.contains(queue))) {
    return;
  }
  QueueDuration& known = m_queues[queue];
  double observed = std::log(static_cast<double>(duration.count()) * speed);
  if (known.weight >= kMinWeight) {
    observed = std::clamp(observed, known.mean_duration - kMaxDeviationLog,
                          known.mean_duration + kMaxDeviationLog);
  }
  known.weight = std::min(known.weight + 1, kMaxWeight);
  Move(known.mean_duration, observed, known.weight);
  Move(known.duration_spread, std::abs(observed - known.mean_duration), known.weight);
  Move(known.estimate_error, std::abs(observed - std::log(static_cast<double>(estimate.count()))),
       known.weight);
}

void QueueDurations::Restore(const QueueId& queue, const QueueDuration& known) {
  if (m_queues.size() < kMaxQueues || m_queues.contains(queue)) {
    QueueDuration& current = m_queues[queue];
    current = current.weight < known.weight ? known : current;
  }
}

std::optional<Milliseconds> QueueDurations::TypicalDuration(const QueueId& queue) const {
  const auto found = m_queues.find(queue);
  if (found == m_queues.end() || found->second.weight < kMinWeight) {
    return std::nullopt;
  }
  const QueueDuration& known = found->second;
  const bool is_off = known.estimate_error > kMaxEstimateErrorLog &&
                      known.duration_spread < kMaxSpreadShare * known.estimate_error;
  return is_off ? std::optional(Milliseconds(std::llround(std::exp(known.mean_duration))))
                : std::nullopt;
}

}  // namespace papayalift
