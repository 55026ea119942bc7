#include "libraries/model/job_codec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "libraries/model/job_file.h"

namespace papayalift {

namespace {

JobSpec AnySpec() {
  JobSpec spec;
  spec.workspace = WorkspaceId("team");
  spec.key = CallerKey(
      *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange<char>('!', '~'))));
  spec.shape = Shape{TaskCount(*rc::gen::inRange(1, kLargestGangTasks + 1)),
                     AcceleratorCount(*rc::gen::inRange(1, 65))};
  spec.declared_run_time = Milliseconds(*rc::gen::inRange(0, 1'000'000));
  spec.idempotency = *rc::gen::element(Idempotency::kIdempotent, Idempotency::kNonIdempotent);
  spec.urgency = *rc::gen::element(Urgency::kNormal, Urgency::kUrgent);
  spec.payload = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 126));
  return spec;
}

bool Refuses(const std::string& text, const std::string& part) {
  const absl::StatusOr<JobSpec> spec = DecodeJobSpec(text);
  return !spec.ok() && std::string(spec.status().message()).find(part) != std::string::npos;
}

}  // namespace

Test(job_codec, decode_what_was_encoded_gives_the_same_specification) {
  cr_assert(rc::check("specification and back", [] {
    const JobSpec spec = AnySpec();
    const absl::StatusOr<JobSpec> decoded = DecodeJobSpec(EncodeJobSpec(spec));
    RC_ASSERT(decoded.ok() == CheckJobSpec(spec).ok());
    if (decoded.ok()) {
      RC_ASSERT(*decoded == spec);
    }
  }));
}

Test(job_codec, decode_any_text_never_throws) {
  cr_assert(rc::check("any text", [](const std::string& text) {
    DecodeJobSpec(text).IgnoreError();
    DecodeJob(text).IgnoreError();
  }));
}

Test(job_codec, decode_wrong_types_and_bounds_names_the_field) {
  cr_assert(Refuses("[]", "no JSON object"));
  cr_assert(Refuses(R"({"workspace":"a","key":"k","tasks":65})", "'tasks' is 65"));
  cr_assert(Refuses(R"({"workspace":"a","key":"k","task":1})", "unknown field 'task'"));
  cr_assert(Refuses(R"({"workspace":"a","key":"k","tasks":"x"})", "unexpected JSON"));
  cr_assert(Refuses(R"({"workspace":"a","key":""})", "'key'"));
  cr_assert(Refuses(R"({"workspace":"a","key":"k","urgency":"soon"})", "'urgency'"));
}

Test(job_codec, record_with_unreadable_verdict_may_have_run) {
  JobRecord job;
  job.spec.workspace = WorkspaceId("team");
  std::string text = EncodeJob(job);
  const std::string verdict = "\"not run\"";
  text.replace(text.find(verdict), verdict.size(), "\"?\"");
  cr_assert(DecodeJob(text)->verdict == Verdict::kMayHaveRun);
}

Test(job_file, problems_are_all_reported) {
  const absl::StatusOr<JobSpec> spec =
      ParseJobFile("[job]\nworkspace = \"a\"\ntasks = 0\nrun_time = 5\n", "job.toml");
  const std::string problems(spec.status().message());
  for (const char* const part : {"job.key", "job.toml:3: job.tasks", "job.toml:4: job.run_time"}) {
    cr_assert(problems.find(part) != std::string::npos, "%s is not reported", part);
  }
}

}  // namespace papayalift
