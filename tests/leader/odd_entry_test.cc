#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

/// A manifest without routes that names the service.
std::string ManifestNaming(const std::string& service) {
  return R"({"version":9,"routes":[],"tenants":[],"services":[{"name":")" + service + R"("}]})";
}

/// A valid entry at an address where no minion answers, with one piece of its text replaced.
std::string Replaced(const std::string& piece, const std::string& replacement) {
  std::string entry =
      R"({"service":"pool","address":"10.9.9.9:80","zone":"a","version":"v1","slots":8,)"
      R"("state":"ready","coldLeftMs":0,"capacity":{"cpu":8000,"memMb":8000,"gpu":8},)"
      R"("labels":["kind","r0"],"sequence":1,"born":4000000})";
  const std::size_t at = entry.find(piece);
  cr_assert(at != std::string::npos);
  return entry.replace(at, piece.size(), replacement);
}

/// Writes the entry under the id of a minion that works, each time right after a heartbeat of it,
/// and checks that the task is not started again.
void CheckIsNoNewsOfTheMinion(const std::string& entry) {
  TestCluster cluster(1, 4);
  cluster.Run(Milliseconds(3'000));
  RegisteredJob job;
  job.work.steps = {MakeStep(1, 1)};
  job.duration = Milliseconds(20'000);
  cluster.Submit(MakeJobId(1), job);
  cluster.Run(Milliseconds(500));
  cr_assert_eq(cluster.minions.RunningOn(MakeJobId(1)).size(), 1);
  const MinionId holder = cluster.minions.RunningOn(MakeJobId(1)).front();
  for (int beat = 0; beat < 4; ++beat) {
    cluster.minions.SendHeartbeats();
    cluster.Run(Milliseconds(30));
    cluster.store.Put("servers/" + holder.text(), entry);
    cluster.Run(Milliseconds(1'500));
  }
  cluster.Run(Milliseconds(20'000));
  cr_expect(cluster.StateOf(MakeJobId(1)) == WorkState::kDone, "%s", entry.c_str());
  cr_expect_eq(cluster.minions.starts(MakeJobId(1)), 1, "%s", entry.c_str());
  cr_expect(cluster.minions.violations().empty(), "%s", entry.c_str());
}

}  // namespace

// Another writer left odd entries among those of the minions (issue 32). No such minion exists, so
// a call to one would end the test.
Test(odd_entry, among_those_of_the_minions_is_left_out_and_all_others_are_followed) {
  TestCluster cluster(1, 2);
  constexpr int kDepth = 100'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  const auto entry = [](const std::string& port, const std::string& born,
                        const std::string& extra) {
    return R"({"service":"pool","address":"10.9.9.9:)" + port +
           R"(","zone":"a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":8000,"memMb":8000,)"
           R"("gpu":8},"labels":["kind","r9"],"sequence":1,"born":)" +
           born + R"(,"x":)" + extra + "}";
  };
  cluster.store.Put("servers/odd0", deep);
  cluster.store.Put("servers/odd1", entry("80", "7", deep));
  cluster.store.Put("servers/odd2", entry("80", "1e300", "0"));
  cluster.store.Put("servers/odd3", entry("80", "18446744073709551615", "0"));
  cluster.store.Put("servers/odd4", entry("0", "7", "0"));
  cluster.store.Put("servers/odd5", entry("65536", "7", "0"));
  cluster.store.Put("servers/odd6", "\xff\xfe");
  cluster.Run(Milliseconds(1'000));
  cluster.minions.Add(MinionId("m7"), RackId("r1"), Resources{8'000, 8'000, 8});
  RegisteredJob job;
  job.work.steps = {MakeStep(3, 8)};
  cluster.Submit(MakeJobId(1), job);
  cluster.Run(Milliseconds(500));
  cr_assert_eq(cluster.minions.RunningOn(MakeJobId(1)).size(), 3);
  // A new leader reads all entries at once.
  cluster.Kill(0);
  cluster.Restart(0);
  cluster.Run(Milliseconds(5'000));
  cr_assert_not_null(cluster.leader());
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  cr_assert(cluster.minions.violations().empty());
}

// Another product wrote its entry under the id of a minion that was at work. Its address and its
// start were believed, and the task was started elsewhere (review/10).
Test(odd_entry, of_a_service_that_no_manifest_names_says_nothing_of_the_minion_of_its_id) {
  CheckIsNoNewsOfTheMinion(Replaced(R"("service":"pool")", R"("service":"billing")"));
}

// Another writer's entries under the id of a minion that was at work lacked fields that each minion
// writes. Their address and start were believed, and the task ran on a second minion (review/12).
Test(odd_entry, with_missing_fields_says_nothing_of_the_minion_of_its_id) {
  for (const char* const missing :
       {R"("version":"v1",)", R"("slots":8,)", R"("sequence":1,)", R"("labels":["kind","r0"],)"}) {
    CheckIsNoNewsOfTheMinion(Replaced(missing, ""));
  }
}

// The minions of a service that a later manifest adds are used from then on.
Test(odd_entry, of_a_service_is_used_once_a_manifest_names_it) {
  TestCluster cluster(1, 0);
  cluster.store.Put(
      "servers/n0",
      R"({"service":"new","address":"10.9.9.9:80","zone":"a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,)"
      R"("capacity":{"cpu":8000,"memMb":8000,"gpu":8},"labels":["kind","r0"],"sequence":1,)"
      R"("born":7})");
  cluster.Run(Milliseconds(3'000));
  const auto is_listed = [&cluster] {
    const auto& minions = cluster.leader()->session()->state().minions;
    const auto found = minions.find(MinionId("n0"));
    return found != minions.end() && found->second.entry.has_value();
  };
  cr_assert_not(is_listed());
  cluster.minions.Add(MinionId("n0"), RackId("r0"), Resources{8'000, 8'000, 8});
  cluster.store.Put(
      "servers/n0",
      R"({"service":"new","address":"10.0.0.1:80","zone":"a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,)"
      R"("capacity":{"cpu":8000,"memMb":8000,"gpu":8},"labels":["kind","r0"],"sequence":2,)"
      R"("born":7})");
  cluster.Run(Milliseconds(500));
  cr_assert_not(is_listed());
  cluster.store.Put("op/config", ManifestNaming("new"));
  cluster.Run(Milliseconds(1'000));
  cr_assert(is_listed());
}

}  // namespace papayalift
