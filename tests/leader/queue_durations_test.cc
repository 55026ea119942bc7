#include "libraries/leader/queue_durations.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

namespace papayalift {

namespace {

const QueueId kQueue("queue");

/// Tasks of 1.8 to 2.2 s, of which each is estimated by the factor.
QueueDurations LearnedWith(double estimate_factor, int tasks = 40) {
  QueueDurations durations;
  for (int task = 0; task < tasks; ++task) {
    const Milliseconds duration(1'800 + 100 * (task % 5));
    const Milliseconds estimate(
        static_cast<std::int64_t>(static_cast<double>(duration.count()) * estimate_factor));
    durations.Record(kQueue, estimate, duration, 1);
  }
  return durations;
}

}  // namespace

Test(queue_durations, estimates_that_are_right_are_kept) {
  cr_assert_not(LearnedWith(1).TypicalDuration(kQueue).has_value());
  cr_assert_not(LearnedWith(1.3).TypicalDuration(kQueue).has_value());
}

Test(queue_durations, estimates_that_are_far_off_are_replaced) {
  for (const double factor : {0.1, 1.9}) {
    const std::optional<Milliseconds> typical = LearnedWith(factor).TypicalDuration(kQueue);
    cr_assert(typical.has_value());
    cr_assert_float_eq(static_cast<double>(typical->count()), 2'000, 100);
  }
}

Test(queue_durations, few_tasks_replace_nothing) {
  cr_assert_not(LearnedWith(0.1, 5).TypicalDuration(kQueue).has_value());
}

// Estimates that are off say more than the mean of a queue whose tasks have nothing in common.
Test(queue_durations, estimates_are_kept_if_durations_differ_more) {
  QueueDurations durations;
  for (int task = 0; task < 60; ++task) {
    const Milliseconds duration(task % 2 == 0 ? 500 : 20'000);
    durations.Record(kQueue, duration * 2, duration, 1);
  }
  cr_assert_not(durations.TypicalDuration(kQueue).has_value());
}

Test(queue_durations, slow_machine_does_not_lengthen_the_typical_duration) {
  QueueDurations durations;
  for (int task = 0; task < 40; ++task) {
    durations.Record(kQueue, Milliseconds(200), Milliseconds(4'000), 0.5);
  }
  cr_assert_float_eq(static_cast<double>(durations.TypicalDuration(kQueue)->count()), 2'000, 10);
}

Test(queue_durations, number_of_queues_is_bounded) {
  QueueDurations durations;
  for (int queue = 0; queue < 10'000; ++queue) {
    durations.Record(QueueId(fmt::format("q{}", queue)), Milliseconds(1'000), Milliseconds(1'000),
                     1);
  }
  cr_assert_leq(durations.queues().size(), 256);
}

}  // namespace papayalift
