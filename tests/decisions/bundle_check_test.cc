#include "libraries/decisions/bundle_check.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

namespace papayalift {

namespace {

/// Two zones with one worker of eight accelerators each, and one workspace with guaranteed gangs of
/// two tasks with four accelerators each.
Bundle TwoZoneBundle(int guaranteed_gangs) {
  Bundle bundle;
  for (const char* const zone : {"a", "b"}) {
    bundle.zones.push_back(ZoneSpec{ZoneId(zone)});
    bundle.workers.push_back(WorkerSpec{WorkerId(fmt::format("w-{}", zone)), ZoneId(zone),
                                        RackId("r"), "127.0.0.1:1", AcceleratorCount(8)});
  }
  WorkspaceSpec team;
  team.id = WorkspaceId("team");
  team.quota = AcceleratorCount(16);
  team.guarantees = {Guarantee{Shape{TaskCount(2), AcceleratorCount(4)}, guaranteed_gangs}};
  bundle.workspaces = {team};
  return bundle;
}

std::string ProblemsOf(const Bundle& bundle) { return std::string(CheckBundle(bundle).message()); }

}  // namespace

Test(bundle_check, guarantee_fits_with_any_zone_out_is_accepted) {
  cr_assert(CheckBundle(TwoZoneBundle(1)).ok());
}

Test(bundle_check, guarantees_fit_only_with_all_zones_are_rejected_by_name) {
  const std::string problems = ProblemsOf(TwoZoneBundle(2));
  cr_assert(problems.find("team") != std::string::npos, "%s", problems.c_str());
}

Test(bundle_check, guarantees_fit_only_with_all_zones_and_zone_loss_accepted_are_accepted) {
  Bundle bundle = TwoZoneBundle(2);
  bundle.zone_loss = ZoneLossRule::kAccepted;
  cr_assert(CheckBundle(bundle).ok());
}

Test(bundle_check, guarantees_beyond_capacity_and_zone_loss_accepted_are_rejected) {
  Bundle bundle = TwoZoneBundle(3);
  bundle.zone_loss = ZoneLossRule::kAccepted;
  cr_assert_not(CheckBundle(bundle).ok());
}

Test(bundle_check, unknown_policy_is_rejected_with_list_of_policies) {
  Bundle bundle = TwoZoneBundle(1);
  bundle.policy.name = "nothing";
  cr_assert(ProblemsOf(bundle).find("papaya") != std::string::npos);
}

}  // namespace papayalift
