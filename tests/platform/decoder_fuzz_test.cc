#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "libraries/journal/accepted_job_codec.h"
#include "libraries/journal/job_progress_codec.h"
#include "platform/edge_settings.h"
#include "platform/platform_schema.h"

namespace papayalift::platform {

namespace {

constexpr std::int64_t kMaxAmount = 1'000'000'000;

const char kManifest[] =
    R"({"version":3,"routes":[{"name":"q","host":"h","prefix":"/p/","service":"s","priority":1,)"
    R"("maxAttempts":3,"slackFactor":2.5,"targetLatencyMs":900,"public":true}],)"
    R"("tenants":[{"name":"shop","apiKeys":["key"],"guaranteed":{"gpu":16}}]})";
const char kMinionEntry[] =
    R"({"service":"pool","address":"10.128.0.9:8080","zone":"casa","version":"v1","slots":8,)"
    R"("state":"ready","coldLeftMs":40,"capacity":{"cpu":16000,"memMb":32768,"gpu":2},)"
    R"("labels":["a","r1"],"sequence":4,"born":1700000000123})";
const char kWork[] =
    R"({"spec":"text","phases":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,"affinity":"r1"},)"
    R"({"count":20,"cpu":2000,"gpu":1,"estimateMs":7000,"after":[0],"antiAffinity":2,"gang":true}]})";
const char kProgress[] =
    R"({"state":"running","ended_at_ms":0,"steps":[[[true,3,1,2,"c","m",17,2,1,"a","b",1],0,1]]})";
const char kAcceptedJob[] =
    R"({"id":"0123456789abcdef","queue":"q","service":"s","priority":2,"most_attempts":3,)"
    R"("slack_factor":1.5,"steps":[{"count":2,"cpu":1,"after":[0],"estimate_ms":5}]})";
const char kSettings[] =
    "nodeName = \"e\"\nzone = \"z\"\nip = \"10.0.0.1\"\n[listen]\nfrontend = \"10.0.0.1:1\"\n"
    "ready = \"10.0.0.1:2\"\n[platform]\naddress = \"10.0.0.2:3\"\nwritesPerS = 400\n";

const std::vector<std::string> kMessages = {kManifest, kMinionEntry, kWork,
                                            kProgress, kAcceptedJob, kSettings};

/// What a number, a text or a part of it is replaced by.
const std::vector<std::string> kOddities = {"-1",
                                            "1e300",
                                            "-1e300",
                                            "4294967297",
                                            "9223372036854775807",
                                            "18446744073709551615",
                                            "1.5",
                                            "\"\"",
                                            "\"x\"",
                                            "null",
                                            "true",
                                            "[]",
                                            "{}",
                                            "[[[[",
                                            "\xff",
                                            "\"",
                                            ",",
                                            "0"};

/// One real message with up to four changes.
std::string MutatedMessage() {
  std::string text = *rc::gen::elementOf(kMessages);
  const int changes = *rc::gen::inRange(0, 5);
  for (int change = 0; change < changes; ++change) {
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
    const std::size_t end = text.find_first_of(",:]}\n", at + 1);
    text.replace(at, end == std::string::npos ? std::string::npos : end - at,
                 *rc::gen::elementOf(kOddities));
  }
  return text;
}

bool IsAmount(std::int64_t value) { return value >= 0 && value <= kMaxAmount; }

void CheckWork(const WorkSpec& work) {
  for (std::size_t index = 0; index < work.steps.size(); ++index) {
    const StepSpec& step = work.steps[index];
    RC_ASSERT(step.count >= 1 && step.count <= 5'000);
    RC_ASSERT(IsAmount(step.needs.cpu_milli) && IsAmount(step.needs.memory_mb));
    RC_ASSERT(IsAmount(step.needs.accelerators) && IsAmount(step.max_tasks_per_worker));
    RC_ASSERT(step.estimate >= Milliseconds(0));
    for (const int earlier : step.after) {
      RC_ASSERT(earlier >= 0 && static_cast<std::size_t>(earlier) < index);
    }
  }
}

void CheckManifest(const FleetManifest& manifest) {
  RC_ASSERT(manifest.version.value() >= 0);
  for (const QueueSpec& queue : manifest.queues) {
    RC_ASSERT(queue.priority.value() >= 0 && queue.max_attempts >= 1);
    RC_ASSERT(queue.slack_factor >= 0 && queue.latency_target >= Milliseconds(0));
  }
  for (const ManifestWorkspace& workspace : manifest.workspaces) {
    RC_ASSERT(IsAmount(workspace.guaranteed.value()));
  }
}

}  // namespace

// A count of 2^32 + 1 was taken for 1, and an estimate near 2^63 overflowed sums.
Test(decoder_fuzz, any_message_is_refused_or_decoded_to_numbers_in_range) {
  const bool held = rc::check("decoders take no odd number", [] {
    const std::string text = MutatedMessage();
    const PlatformSchema schema;
    if (const absl::StatusOr<WorkSpec> work = schema.DecodeWork(text); work.ok()) {
      CheckWork(*work);
    }
    if (const absl::StatusOr<FleetManifest> manifest = schema.DecodeManifest(text); manifest.ok()) {
      CheckManifest(*manifest);
    }
    if (const absl::StatusOr<MinionEntry> entry = schema.DecodeMinion(MinionId("m"), text);
        entry.ok()) {
      RC_ASSERT(IsAmount(entry->capacity.cpu_milli) && IsAmount(entry->capacity.accelerators));
    }
    schema.WithoutCounters(text);
    DecodeJobProgress(text).status().IgnoreError();
    DecodeAcceptedJob(text).status().IgnoreError();
    ParseEdgeSettings(text, "file").status().IgnoreError();
  });
  cr_assert(held);
}

Test(decoder_fuzz, number_out_of_range_is_refused_with_its_field) {
  const PlatformSchema schema;
  for (const char* const field : {"count", "cpu", "memMb", "gpu", "estimateMs", "antiAffinity"}) {
    const std::string count = std::string(field) == "count" ? "" : R"("count":1,)";
    for (const char* const value : {"-1", "1e300", "18446744073709551615"}) {
      const absl::Status status =
          schema.DecodeWork(R"({"phases":[{)" + count + "\"" + field + "\":" + value + "}]}")
              .status();
      cr_expect(absl::IsInvalidArgument(status));
      cr_expect(std::string(status.message()).find(field) != std::string::npos, "%s", field);
    }
  }
}

}  // namespace papayalift::platform
