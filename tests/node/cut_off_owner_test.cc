/// An owner that only the workers still hear; see docs/design/gangs.md.
#include <criterion/criterion.h>

#include "node/assert_held.h"
#include "node/fleet_checks.h"

namespace papayalift {

Test(lease_keeper, owner_cut_off_from_the_store_no_second_attempt_runs_beside_its_own) {
  TestFleet fleet(2);
  FleetChecks checks(fleet);
  fleet.SetLive({0});
  JobSpec spec = SpecOf("pair", 2, 4);
  spec.payload = "run 120s";
  fleet.Submit(spec);
  fleet.Run(Milliseconds(1'000));
  const ZoneId zone = fleet.Placements().at(0).zone;
  fleet.node(0).store().SetReach(StoreReach::kCutOff);
  fleet.node(1).membership().Set({fleet.node(1).id()});
  for (const WorkerSpec& worker : fleet.farm().workers()) {
    if (worker.zone == zone) {
      fleet.node(1).workers().Cut(worker.id);
    }
  }
  // So that the job is placed in the other zone; with both in, it is placed here again and again.
  const ZoneChange out{zone, ZoneState::kOut, OperatorId("op"), "works"};
  cr_assert(fleet.node(1).zones().Change(out).ok());
  for (int turn = 0; turn < 300; ++turn) {
    fleet.Run(Milliseconds(250));
    AssertHeld(checks.Broken());
  }
}

}  // namespace papayalift
