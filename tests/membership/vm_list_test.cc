#include "libraries/membership/vm_list.h"

#include <criterion/criterion.h>

#include "libraries/membership/vm_list_codec.h"
#include "libraries/membership/vm_list_follower.h"
#include "libraries/node/snapshot_builder.h"
#include "stand_ins/platform/platform_stand_in.h"

namespace papayalift {

namespace {

struct VmListFixture {
  VmListFixture() {
    vms.Update({VmEntry{"worker-1", VmState::kLeaving}, VmEntry{"worker-2", VmState::kLive}});
  }

  VmList vms;
};

/// A follower that reads the list from a stand-in of the platform over HTTP.
struct VmListFollowerFixture {
  VmListFollowerFixture()
      : platform(*PlatformStandIn::Create("127.0.0.1", 0)),
        address("127.0.0.1:" + std::to_string(platform->port())),
        follower(address, client, vms) {}

  void Set(const std::string& body) {
    HttpCall call;
    call.url = "http://" + address + "/control/members";
    call.body = body;
    cr_assert(client->Send(call).result == HttpCallResult::kAnswered);
  }

  const std::unique_ptr<PlatformStandIn> platform;
  const std::string address;
  const std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>();
  VmList vms;
  VmListFollower follower;
};

}  // namespace

Test(vm_list, update_empty_list_changes_nothing) {
  VmListFixture fixture;
  fixture.vms.Update({});
  cr_assert_not(fixture.vms.TakesWork("worker-1"));
  cr_assert(fixture.vms.TakesWork("worker-2"));
}

Test(vm_list, update_list_without_a_leaving_vm_keeps_it_leaving) {
  VmListFixture fixture;
  fixture.vms.Update({VmEntry{"worker-2", VmState::kLive}});
  cr_assert_not(fixture.vms.TakesWork("worker-1"));
}

Test(vm_list, update_leaving_vm_to_live_takes_work_again) {
  VmListFixture fixture;
  fixture.vms.Update({VmEntry{"worker-1", VmState::kLive}});
  cr_assert(fixture.vms.TakesWork("worker-1"));
}

Test(vm_list, snapshot_leaving_worker_is_unavailable_and_its_gang_stays) {
  VmListFixture fixture;
  FleetView view;
  BundleInForce in_force;
  for (const char* const name : {"worker-1", "worker-2"}) {
    WorkerSpec worker;
    worker.id = WorkerId(name);
    in_force.bundle.workers.push_back(worker);
  }
  view.bundle = std::make_shared<BundleInForce>(in_force);
  PlacementRecord placement;
  placement.job = JobId("job");
  view.placements[JobId("job")] =
      std::make_shared<Versioned<PlacementRecord>>(Versioned<PlacementRecord>{placement, {}});
  const Snapshot snapshot = BuildSnapshot(view, Milliseconds(0), &fixture.vms);
  cr_assert(snapshot.workers.front().health == WorkerHealth::kUnavailable);
  cr_assert(snapshot.workers.back().health == WorkerHealth::kHealthy);
  cr_assert_eq(snapshot.gangs.size(), 1);
}

Test(vm_list_follower, read_platform_list_updates_states) {
  VmListFollowerFixture fixture;
  fixture.Set(EncodeVmList({VmEntry{"minion-7", VmState::kGone}}));
  cr_assert(fixture.follower.Read().ok());
  cr_assert(fixture.vms.StateOf("minion-7") == VmState::kGone);
}

Test(vm_list_follower, read_malformed_list_keeps_earlier_states) {
  VmListFollowerFixture fixture;
  fixture.Set(EncodeVmList({VmEntry{"minion-7", VmState::kLeaving}}));
  cr_assert(fixture.follower.Read().ok());
  for (const char* const body : {"", "[{\"name\":\"minion-7\"}]", "{}", "[{\"na"}) {
    fixture.Set(body);
    cr_assert_not(fixture.follower.Read().ok());
    cr_assert_not(fixture.vms.TakesWork("minion-7"));
  }
}

}  // namespace papayalift
