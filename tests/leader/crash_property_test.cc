#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "leader/failure_scenario.h"

namespace papayalift {

Test(cluster, any_failure_sequence_with_crashing_minions_ends_every_job_as_it_may) {
  const bool held = rc::check("faults with crashing minions in any order", [] {
    const rc::Gen<int> fault = rc::gen::inRange(0, kActionKinds * 1'000);
    const rc::Gen<int> crash =
        rc::gen::inRange(kFirstCrashNumber, kFirstCrashNumber + kCrashActionKinds * 1'000);
    CheckSequence(*rc::gen::container<std::vector<int>>(
        rc::gen::weightedOneOf<int>({{4, fault}, {1, crash}})));
  });
  cr_assert(held);
}

}  // namespace papayalift
