#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

// Another writer left odd entries among those of the minions (issue 32). No such minion exists, so
// a call to one would end the test.
Test(odd_entry, among_those_of_the_minions_is_left_out_and_all_others_are_followed) {
  TestCluster cluster(1, 2);
  constexpr int kDepth = 100'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  const auto entry = [](const std::string& port, const std::string& born,
                        const std::string& extra) {
    return R"({"service":"pool","address":"10.9.9.9:)" + port +
           R"(","zone":"a","state":"ready","coldLeftMs":0,"capacity":{"cpu":8000,"memMb":8000,)"
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

}  // namespace papayalift
