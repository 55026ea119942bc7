#include "libraries/http/connection_reuse_policy.h"

#include <criterion/criterion.h>

#include "libraries/base/manual_clock.h"

namespace papayalift {

namespace {

constexpr std::chrono::seconds kLongest{10};

/// A policy with clock and peers "a" to "f".
struct PolicyFixture {
  ManualClock clock;
  ConnectionReusePolicy policy{clock};

  void Answer(const std::string& peer, int count) {
    for (int call = 0; call < count; ++call) {
      policy.RecordAnswer(peer, ConnectionOrigin::kKept);
    }
  }
  void Silence(const std::string& peer) { policy.RecordSilence(peer, ConnectionOrigin::kKept); }
};

}  // namespace

Test(connection_reuse_policy, silent_peer_others_keep_their_connections) {
  PolicyFixture fixture;
  fixture.Silence("a");
  fixture.clock.Advance(Milliseconds(2'100));
  cr_assert(fixture.policy.MaxIdle("a") == std::chrono::seconds(2));
  cr_assert(fixture.policy.MaxIdle("b") == kLongest);
}

// The load: hundreds of minions, some of which are cut off for seconds and are asked again and
// again. Each unanswered call closed the connections to all others.
Test(connection_reuse_policy, few_of_many_peers_silent_others_keep_their_connections) {
  PolicyFixture fixture;
  for (int round = 0; round < 20; ++round) {
    fixture.Answer("b", 30);
    for (const char* const peer : {"a", "c", "d", "e"}) {
      fixture.Silence(peer);
    }
    fixture.clock.Advance(Milliseconds(300));
    cr_assert(fixture.policy.MaxIdle("b") == kLongest);
    cr_assert(fixture.policy.MaxIdle("a") == std::chrono::seconds(0));
  }
}

Test(connection_reuse_policy, all_kept_connections_dead_no_connection_from_before_is_used) {
  PolicyFixture fixture;
  fixture.Answer("b", 30);
  fixture.clock.Advance(Milliseconds(3'000));
  for (const char* const peer : {"a", "c", "d"}) {
    fixture.Silence(peer);
  }
  cr_assert(fixture.policy.MaxIdle("b") == std::chrono::seconds(0));
  fixture.clock.Advance(Milliseconds(1'500));
  cr_assert(fixture.policy.MaxIdle("b") == std::chrono::seconds(1));
}

Test(connection_reuse_policy, new_connections_silent_says_nothing_about_kept_ones) {
  PolicyFixture fixture;
  for (const char* const peer : {"a", "c", "d", "e"}) {
    fixture.policy.RecordSilence(peer, ConnectionOrigin::kNew);
  }
  cr_assert(fixture.policy.MaxIdle("b") == kLongest);
}

}  // namespace papayalift
