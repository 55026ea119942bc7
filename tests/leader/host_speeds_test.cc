#include "libraries/leader/host_speeds.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "libraries/log/json_log_sink.h"

namespace papayalift {

namespace {

const ServiceId kPool("pool");
constexpr Milliseconds kInterval{1'000};
constexpr int kMachines = 30;

/// Machines of three kinds whose work differs by up to 30 %.
struct LearningFixture {
  LearningFixture() {
    DisableLogging();
    for (int number = 0; number < kMachines; ++number) {
      speeds_of_machines.push_back(number % 3 == 2 ? 1.7 : 0.7);
    }
  }

  HostIdentity HostOf(int machine) const {
    return HostIdentity{fmt::format("10.0.0.{}:7000", machine), 1};
  }

  HostRate RateOf(int machine, double factor = 1) {
    std::uniform_real_distribution<double> work(0.85, 1.15);
    HostRate rate;
    rate.host = HostOf(machine);
    rate.service = kPool;
    rate.run = ++last_run;
    rate.rate = speeds_of_machines[static_cast<std::size_t>(machine)] * factor / work(random);
    return rate;
  }

  /// One group of runs on `size` machines that are drawn at random.
  void ObserveGroup(int size) {
    std::vector<int> machines(kMachines);
    for (int number = 0; number < kMachines; ++number) {
      machines[static_cast<std::size_t>(number)] = number;
    }
    std::shuffle(machines.begin(), machines.end(), random);
    std::vector<HostRate> group;
    group.reserve(kMachines);
    for (int member = 0; member < size; ++member) {
      group.push_back(RateOf(machines[static_cast<std::size_t>(member)]));
    }
    speeds.Observe(group, now);
    now += kInterval;
  }

  void Learn(int groups = 60) {
    for (int group = 0; group < groups; ++group) {
      ObserveGroup(8);
    }
    speeds.UpdateSpreads(now);
  }

  double SpeedOf(int machine) const {
    return speeds.SpeedOf(HostOf(machine), speeds.SpreadOf(kPool), now);
  }

  /// One group on all machines, of which one shows its usual rate times `factor`.
  void ObserveAll(int odd_machine, double factor) {
    std::vector<HostRate> group;
    group.reserve(kMachines);
    for (int machine = 0; machine < kMachines; ++machine) {
      group.push_back(RateOf(machine, machine == odd_machine ? factor : 1));
    }
    speeds.Observe(group, now);
    speeds.UpdateSpreads(now);
  }

  std::mt19937 random{7};
  std::uint64_t last_run = 0;
  std::vector<double> speeds_of_machines;
  HostSpeeds speeds;
  Milliseconds now{1'000'000};
};

}  // namespace

Test(host_speeds, machines_of_different_speed_are_told_apart) {
  LearningFixture fixture;
  fixture.Learn();
  const SpeedSpread spread = fixture.speeds.SpreadOf(kPool);
  cr_assert(spread.is_uneven);
  cr_assert_eq(spread.machines, kMachines);
  for (int machine = 0; machine < kMachines; ++machine) {
    const bool is_fast = machine % 3 == 2;
    cr_assert_eq(fixture.SpeedOf(machine) >= spread.fast_from, is_fast, "machine %d", machine);
  }
  cr_assert_float_eq(spread.slowest_third, 0.7, 0.1);
  cr_assert_float_eq(spread.fastest_third, 1.65, 0.2);
}

// Guards against a change of placement on fleets whose machines differ little.
Test(host_speeds, small_differences_are_not_regarded) {
  for (unsigned seed = 0; seed < 20; ++seed) {
    LearningFixture fixture;
    fixture.random.seed(seed);
    constexpr double kSpeeds[] = {0.8, 1.0, 1.25};
    for (int machine = 0; machine < kMachines; ++machine) {
      fixture.speeds_of_machines[static_cast<std::size_t>(machine)] = kSpeeds[machine % 3];
    }
    for (int round = 0; round < 50; ++round) {
      fixture.Learn(4);
      cr_assert_not(fixture.speeds.SpreadOf(kPool).is_uneven, "seed %u round %d", seed, round);
    }
  }
}

// Guards against taking the members of a group that runs wholly on fast machines for usual ones.
Test(host_speeds, group_on_fast_machines_leaves_their_speed) {
  LearningFixture fixture;
  fixture.Learn();
  const double before = fixture.SpeedOf(2);
  for (int round = 0; round < 30; ++round) {
    fixture.speeds.Observe({fixture.RateOf(2), fixture.RateOf(5), fixture.RateOf(8)}, fixture.now);
  }
  cr_assert_float_eq(fixture.SpeedOf(2), before, before * 0.15);
}

// Stragglers take seven times as long as others, without any fault of the machine.
Test(host_speeds, straggler_moves_the_speed_little) {
  LearningFixture fixture;
  fixture.Learn();
  const double before = fixture.SpeedOf(0);
  std::vector<HostRate> group;
  group.reserve(kMachines);
  for (int machine = 0; machine < 8; ++machine) {
    group.push_back(fixture.RateOf(machine, machine == 0 ? 1 / 7.0 : 1));
  }
  for (int window = 0; window < 20; ++window) {
    // The same runs, measured again and again.
    fixture.speeds.Observe(group, fixture.now);
    fixture.now += kInterval;
  }
  fixture.speeds.UpdateSpreads(fixture.now);
  cr_assert_float_eq(fixture.SpeedOf(0), before, before * 0.15);
}

Test(host_speeds, machine_that_turns_slow_is_noticed_within_seconds) {
  LearningFixture fixture;
  fixture.Learn();
  fixture.ObserveAll(2, 1 / 6.0);
  fixture.now += kInterval;
  fixture.ObserveAll(2, 1 / 6.0);
  cr_assert_lt(fixture.SpeedOf(2), 0.4);
}

Test(host_speeds, run_that_turns_slow_shows_its_machine_at_once) {
  LearningFixture fixture;
  fixture.Learn();
  std::vector<HostRate> group;
  group.reserve(kMachines);
  for (int machine = 0; machine < 8; ++machine) {
    group.push_back(fixture.RateOf(machine));
  }
  fixture.speeds.Observe(group, fixture.now);
  group[2].rate /= 6;
  fixture.speeds.Observe(group, fixture.now);
  cr_assert_lt(fixture.SpeedOf(2), 0.4);
}

// A machine that gets no work for its slowness shows no recovery.
Test(host_speeds, slow_machine_that_is_not_observed_is_tried_again) {
  LearningFixture fixture;
  fixture.Learn();
  const double before = fixture.SpeedOf(2);
  fixture.ObserveAll(2, 1 / 6.0);
  fixture.ObserveAll(2, 1 / 6.0);
  fixture.now += Milliseconds(6'000);
  fixture.speeds.UpdateSpreads(fixture.now);
  cr_assert_float_eq(fixture.SpeedOf(2), before, before * 0.3);
}

Test(host_speeds, speed_fades_while_the_machine_is_not_used) {
  LearningFixture fixture;
  fixture.Learn();
  cr_assert(fixture.speeds.SpreadOf(kPool).is_uneven);
  fixture.now += Milliseconds(6 * 3'600'000);
  fixture.speeds.UpdateSpreads(fixture.now);
  cr_assert_not(fixture.speeds.SpreadOf(kPool).is_uneven);
}

Test(host_speeds, other_machine_at_the_address_has_no_speed) {
  LearningFixture fixture;
  fixture.Learn();
  fixture.speeds.Confirm(fixture.HostOf(2));
  cr_assert(fixture.speeds.hosts().contains(fixture.HostOf(2).address));
  HostIdentity other = fixture.HostOf(2);
  other.fingerprint = 2;
  cr_assert_float_eq(fixture.speeds.SpeedOf(other, fixture.speeds.SpreadOf(kPool), fixture.now), 1,
                     1e-9);
  fixture.speeds.Confirm(other);
  cr_assert_not(fixture.speeds.hosts().contains(other.address));
}

Test(host_speeds, group_on_one_machine_shows_nothing) {
  LearningFixture fixture;
  fixture.speeds.Observe({fixture.RateOf(0), fixture.RateOf(0, 3)}, fixture.now);
  cr_assert(fixture.speeds.hosts().empty());
}

}  // namespace papayalift
