/// Tests an owner that is cut off from the store but still reaches its workers; see
/// docs/design/gangs.md.
#include <criterion/criterion.h>

#include "node/assert_no_violation.h"
#include "node/fleet_invariants.h"

namespace papayalift {

Test(lease_keeper, owner_cut_off_from_the_store_no_two_attempts_run_at_once) {
  TestFleet fleet(2);
  FleetInvariants invariants(fleet);
  fleet.SetLive({0});
  JobSpec spec = SpecOf("pair", 2, 4);
  spec.payload = "run 120s";
  fleet.Submit(spec);
  fleet.Run(Milliseconds(1'000));
  const ZoneId zone = fleet.Placements().at(0).zone;
  fleet.node(0).store().SetReach(StoreReach::kCutOff);
  fleet.node(1).membership().SetLive({fleet.node(1).id()});
  for (const WorkerSpec& worker : fleet.worker_pool().workers()) {
    if (worker.zone == zone) {
      fleet.node(1).workers().Disconnect(worker.id);
    }
  }
  // Taking the zone out makes the next attempt go to the other zone. Otherwise it would be placed
  // here again and again.
  const ZoneChange out{zone, ZoneState::kOut, OperatorId("op"), "works"};
  cr_assert(fleet.node(1).zones().Change(out).ok());
  for (int turn = 0; turn < 300; ++turn) {
    fleet.Run(Milliseconds(250));
    AssertNoViolation(invariants.FirstViolation());
  }
}

}  // namespace papayalift
