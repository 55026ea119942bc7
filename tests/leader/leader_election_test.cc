#include "libraries/leader/leader_election.h"

#include <criterion/criterion.h>

#include <memory>

#include "leader/fake_store_port.h"

namespace papayalift {

namespace {

struct Candidate {
  Candidate(VirtualTimers& timers, FleetStore& store, const std::string& name)
      : port(timers, store),
        election(timers, port, ElectionSettings{.node = name},
                 ElectionCallbacks{[this](Term term) { terms.push_back(term); },
                                   [this](const std::string&) { ++losses; }}) {
    election.Start();
  }

  FakeStorePort port;
  std::vector<Term> terms;
  int losses = 0;
  LeaderElection election;
};

struct ElectionFixture {
  int leaders() const {
    return (left.election.is_leader() ? 1 : 0) + (right.election.is_leader() ? 1 : 0);
  }
  Candidate& leader() { return left.election.is_leader() ? left : right; }
  Candidate& follower() { return left.election.is_leader() ? right : left; }

  VirtualTimers timers;
  FleetStore store{timers};
  Candidate left{timers, store, "left"};
  Candidate right{timers, store, "right"};
};

}  // namespace

Test(leader_election, two_candidates_elect_one) {
  ElectionFixture fixture;
  fixture.timers.Run(Milliseconds(10'000));
  cr_assert_eq(fixture.leaders(), 1);
  cr_assert_eq(fixture.leader().terms.size(), 1);
}

Test(leader_election, resigned_leader_is_followed_at_once) {
  ElectionFixture fixture;
  fixture.timers.Run(Milliseconds(1'000));
  Candidate& next = fixture.follower();
  fixture.leader().election.Resign();
  fixture.timers.Run(Milliseconds(300));
  cr_assert(next.election.is_leader());
}

Test(leader_election, cut_off_leader_is_followed_under_a_higher_token) {
  ElectionFixture fixture;
  fixture.timers.Run(Milliseconds(1'000));
  Candidate& first = fixture.leader();
  Candidate& second = fixture.follower();
  first.port.SetReachable(false);
  fixture.timers.Run(Milliseconds(6'000));
  cr_assert(second.election.is_leader());
  cr_assert_gt(second.terms.at(0).token.value(), first.terms.at(0).token.value());
  first.port.SetReachable(true);
  fixture.timers.Run(Milliseconds(3'000));
  cr_assert_not(first.election.is_leader());
  cr_assert_eq(first.losses, 1);
}

// Found on calm days that end with a loss of power: nobody led until the old lease had lapsed.
Test(leader_election, restarted_leader_does_not_wait_for_its_old_lease) {
  VirtualTimers timers;
  FleetStore store(timers);
  Candidate before(timers, store, "only");
  timers.Run(Milliseconds(1'000));
  before.port.Abandon();
  Candidate after(timers, store, "only");
  timers.Run(Milliseconds(300));
  cr_assert(after.election.is_leader());
  cr_assert_gt(after.terms.at(0).token.value(), before.terms.at(0).token.value());
}

Test(leader_election, claim_with_a_lost_answer_is_recognised) {
  VirtualTimers timers;
  FleetStore store(timers);
  Candidate only(timers, store, "only");
  only.port.FailNextCommits({StoreFault::kAnswerLost});
  timers.Run(Milliseconds(4'000));
  cr_assert(only.election.is_leader());
}

Test(leader_election, claim_that_is_done_late_blocks_nobody_for_long) {
  VirtualTimers timers;
  FleetStore store(timers);
  Candidate only(timers, store, "only");
  only.port.FailNextCommits({StoreFault::kDoneLate});
  timers.Run(Milliseconds(10'000));
  cr_assert(only.election.is_leader());
}

}  // namespace papayalift
