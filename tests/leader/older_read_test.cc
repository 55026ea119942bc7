#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

constexpr Milliseconds kHeartbeatInterval{100};
constexpr char kEvacuation[] = "op/evacuate/a";

/// Watches are silent for a while, so that the leader reads all keys again, and speak again just as
/// the zone is taken back. Reads take long.
bool IsJobDoneAfterSilence(Milliseconds silence) {
  TestCluster cluster(1, 2);
  cluster.store.Put(kEvacuation, "");
  cluster.RunWithHeartbeats(Milliseconds(1'000), kHeartbeatInterval);
  cluster.node(0).store().SetWatchesSilent(true);
  cluster.node(0).store().SetNetworkDelay(Milliseconds(250));
  cluster.RunWithHeartbeats(silence, kHeartbeatInterval);
  cluster.node(0).store().SetWatchesSilent(false);
  cluster.store.Remove(kEvacuation);
  cluster.node(0).store().SetNetworkDelay(Milliseconds(2));
  cluster.RunWithHeartbeats(Milliseconds(2'000), kHeartbeatInterval);
  RegisteredJob job;
  job.work.steps = {MakeStep(1, 1)};
  cluster.Submit(MakeJobId(1), job);
  cluster.RunWithHeartbeats(Milliseconds(4'000), kHeartbeatInterval);
  return cluster.StateOf(MakeJobId(1)) == WorkState::kDone;
}

}  // namespace

// A read that was sent before a zone was taken back, and answered after the watch had said so, kept
// the zone evacuated for the rest of the term.
Test(older_read, does_not_undo_what_a_watch_has_brought) {
  for (int silence = 600; silence <= 1'500; silence += 100) {
    cr_expect(IsJobDoneAfterSilence(Milliseconds(silence)), "%d ms", silence);
  }
}

}  // namespace papayalift
