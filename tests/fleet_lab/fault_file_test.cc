#include "libraries/fleet_lab/fault_file.h"

#include <criterion/criterion.h>

namespace papayalift {

Test(fault_file, steps_are_read_in_the_order_of_their_times) {
  const absl::StatusOr<FaultFile> file = ParseFaultFile(
      "[load]\ncalls_per_second = 7\n"
      "[[fault]]\nat = \"5s\"\nkind = \"kill\"\ntargets = [\"node-1\"]\n"
      "[[fault]]\nat = \"2s\"\nkind = \"link\"\ntargets = [\"worker-*\"]\neffect = \"delay\"\n"
      "delay = \"300ms\"\nprobability = 0.5\nfor = \"4s\"\n",
      "faults.toml");
  cr_assert(file.ok());
  cr_expect_eq(file->load.calls_per_second, 7);
  cr_assert_eq(file->steps.size(), 2);
  cr_expect(file->steps[0].action == FaultAction::kLink);
  cr_expect(file->steps[0].rule.kind == FaultKind::kDelay);
  cr_expect(file->steps[0].rule.delay == Milliseconds(300));
  cr_expect(file->steps[1].at == Milliseconds(5'000));
}

Test(fault_file, every_problem_is_reported) {
  const absl::StatusOr<FaultFile> file = ParseFaultFile(
      "[[fault]]\nkind = \"explode\"\n"
      "[[fault]]\nkind = \"kill\"\n"
      "[[fault]]\nkind = \"zone-out\"\n"
      "[[fault]]\nkind = \"compact\"\nunheard = 1\n",
      "faults.toml");
  cr_assert(!file.ok());
  const std::string message(file.status().message());
  for (const char* part : {"explode", "targets", "zone", "unheard"}) {
    cr_expect(message.find(part) != std::string::npos, "%s not in: %s", part, message.c_str());
  }
}

}  // namespace papayalift
