#include "platform/platform_schema.h"

#include <criterion/criterion.h>

namespace papayalift::platform {

namespace {

const char kMinionEntry[] =
    R"({"service":"pool","address":"10.128.0.9:8080","zone":"casa","version":"v1","slots":8,)"
    R"("state":"draining","coldLeftMs":40,"capacity":{"cpu":16000,"memMb":32768,"gpu":2},)"
    R"("labels":["a","r1-3"],"clockMs":482113,"sequence":4,"born":1700000000123})";

}  // namespace

Test(platform_schema, minion_entry_is_decoded_field_by_field) {
  const PlatformSchema schema;
  const MinionEntry entry = schema.DecodeMinion(MinionId("i-1"), kMinionEntry).value();
  cr_assert(entry.id == MinionId("i-1"));
  cr_assert(entry.state == MinionState::kDraining);
  cr_assert(entry.rack == RackId("r1-3"));
  cr_assert(entry.capacity == (Resources{16'000, 32'768, 2}));
  cr_assert_eq(entry.incarnation.value(), 1'700'000'000'123);
  cr_assert_eq(entry.warm_up_remaining.count(), 40);
}

Test(platform_schema, entries_that_differ_in_counters_only_are_equal_without_them) {
  const PlatformSchema schema;
  std::string later = kMinionEntry;
  later.replace(later.find("482113"), 6, "1482113");
  later.replace(later.find("\"sequence\":4"), 12, "\"sequence\":105");
  cr_assert_neq(later, std::string(kMinionEntry));
  cr_assert_eq(schema.WithoutCounters(later), schema.WithoutCounters(kMinionEntry));
  std::string ready = kMinionEntry;
  ready.replace(ready.find("draining"), 8, "ready");
  cr_assert_neq(schema.WithoutCounters(ready), schema.WithoutCounters(kMinionEntry));
  cr_assert_eq(schema.WithoutCounters("\"clockMs\":"), "\"clockMs\":");
}

Test(platform_schema, malformed_minion_entry_is_refused) {
  const PlatformSchema schema;
  for (
      const char* const text :
      {"", "\xff\xfe", "[]", "{}", R"({"service":7})",
       R"({"service":"p","address":"x","zone":"z","state":"ready","capacity":{},"labels":[]})",
       R"({"service":"p","address":"1.2.3.4:5","zone":"z","state":"odd","capacity":{},"labels":[]})",
       R"({"service":"p","address":"1.2.3.4:5","zone":"z","state":"ready","capacity":{"cpu":-1},"labels":[]})",
       R"({"service":"p","address":"1.2.3.4:5","zone":"z","state":"ready","capacity":{},"labels":7})"}) {
    cr_expect_not(schema.DecodeMinion(MinionId("i"), text).ok(), "%s", text);
  }
}

// Another writer's entry named a minion that was called again and again.
Test(platform_schema, minion_entry_with_a_value_out_of_range_or_too_deep_is_refused) {
  const PlatformSchema schema;
  const std::string good = kMinionEntry;
  const auto with = [&good](const std::string& from, const std::string& to) {
    std::string odd = good;
    return odd.replace(odd.find(from), from.size(), to);
  };
  constexpr int kDepth = 100'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  for (const std::string& odd :
       {deep, with("\"v1\"", deep), with("[\"a\",\"r1-3\"]", deep), with(":8080", ":0"),
        with(":8080", ":65536"), with(":8080", ":99999999999999999999"), with(":8080", ":-1"),
        with("1700000000123", "1e300"), with("1700000000123", "1e999"),
        with("1700000000123", "18446744073709551615"), with("1700000000123", "1700000000123.5"),
        with("1700000000123", "-1"), with("\"coldLeftMs\":40", "\"coldLeftMs\":1e300"),
        with("\"coldLeftMs\":40", "\"coldLeftMs\":9223372036854775807"),
        with("\"gpu\":2", "\"gpu\":1e30"), with("\"gpu\":2", "\"gpu\":-2"),
        with("\"cpu\":16000", "\"cpu\":99999999999999999999")}) {
    cr_expect_not(schema.DecodeMinion(MinionId("i"), odd).ok(), "%.200s", odd.c_str());
  }
  for (const std::string& odd :
       {with("\"version\":\"v1\",", ""), with("\"v1\"", "1"), with("\"slots\":8,", ""),
        with("\"slots\":8", "\"slots\":\"8\""), with("\"slots\":8", "\"slots\":-1"),
        with("\"sequence\":4,", ""), with("\"sequence\":4", "\"sequence\":null"),
        with("\"sequence\":4", "\"sequence\":4.5")}) {
    cr_expect_not(schema.DecodeMinion(MinionId("i"), odd).ok(), "%.200s", odd.c_str());
  }
  cr_expect(schema.DecodeMinion(MinionId("i"), with("\"v1\"", R"("[[{\"\\")")).ok());
}

Test(platform_schema, manifest_is_decoded_with_queues_and_workspaces) {
  const PlatformSchema schema;
  const FleetManifest manifest =
      schema
          .DecodeManifest(
              R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/","service":"s",)"
              R"("priority":2,"maxAttempts":4,"slackFactor":1.5,"targetLatencyMs":300},)"
              R"({"name":"r2","host":"h","prefix":"/a/b/","service":"s","public":true}],)"
              R"("tenants":[{"name":"t","apiKeys":["k1","k2"],"guaranteed":{"gpu":72}}]})")
          .value();
  cr_assert_eq(manifest.version.value(), 7);
  cr_assert(manifest.FindQueueByPath("h", "/a/x")->id == QueueId("r"));
  cr_assert(manifest.FindQueueByPath("h", "/a/b/x")->id == QueueId("r2"));
  cr_assert_not(manifest.FindQueueByPath("h", "/a/b/x")->needs_key);
  cr_assert_null(manifest.FindQueueByPath("other", "/a/x"));
  cr_assert(manifest.FindWorkspaceByKey("k2")->id == WorkspaceId("t"));
  cr_assert_eq(manifest.FindWorkspaceByKey("k2")->guaranteed.value(), 72);
}

Test(platform_schema, work_is_decoded_field_by_field) {
  const PlatformSchema schema;
  const WorkSpec work =
      schema
          .DecodeWork(R"({"spec":"x","phases":[{"count":4,"cpu":500,"memMb":256,"gpu":1,)"
                      R"("estimateMs":900,"affinity":"r1-3","gang":true,"rackLocal":true},)"
                      R"({"count":2,"after":[0],"checkpointing":true,"constraints":"a",)"
                      R"("antiAffinity":1}]})")
          .value();
  cr_assert_eq(work.steps.size(), 2);
  cr_assert(work.steps[0].kind == WorkStepKind::kGang);
  cr_assert(work.steps[0].prefers_one_rack);
  cr_assert(work.steps[0].data_rack == RackId("r1-3"));
  cr_assert(work.steps[1].after == std::vector<int>{0});
  cr_assert(work.steps[1].saves_checkpoints);
  cr_assert_eq(work.steps[1].required_label, "a");
  cr_assert_eq(work.steps[1].max_tasks_per_worker, 1);
}

Test(platform_schema, unsupported_work_is_unimplemented) {
  const PlatformSchema schema;
  cr_assert(
      absl::IsUnimplemented(schema.DecodeWork(R"({"repeats":3,"phases":[{"count":1}]})").status()));
  cr_assert(absl::IsUnimplemented(
      schema.DecodeWork(R"({"phases":[{"count":1,"fillCount":true}]})").status()));
}

Test(platform_schema, evacuation_keys_name_their_zone) {
  const PlatformSchema schema;
  cr_assert(schema.EvacuatedZone(schema.EvacuationKey(ZoneId("z"))) == ZoneId("z"));
  cr_assert_not(schema.EvacuatedZone(schema.ManifestKey()).has_value());
  cr_assert(schema.MinionOfKey(schema.MinionKey(MinionId("i"))) == MinionId("i"));
}

}  // namespace papayalift::platform
