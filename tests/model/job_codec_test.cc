#include "libraries/model/job_codec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "libraries/model/job_file.h"

namespace papayalift {

namespace {

JobSpec ArbitraryJobSpec() {
  JobSpec spec;
  spec.workspace = WorkspaceId("team");
  spec.key = CallerKey(
      *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange<char>('!', '~'))));
  spec.shape = Shape{TaskCount(*rc::gen::inRange(1, kMaxGangTasks + 1)),
                     AcceleratorCount(*rc::gen::inRange(1, 65))};
  spec.declared_run_time = Milliseconds(*rc::gen::inRange(0, 1'000'000));
  spec.idempotency = *rc::gen::element(Idempotency::kIdempotent, Idempotency::kNonIdempotent);
  spec.urgency = *rc::gen::element(Urgency::kNormal, Urgency::kUrgent);
  spec.payload = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 126));
  return spec;
}

bool IsRejectedWith(const std::string& text, const std::string& part) {
  const absl::StatusOr<JobSpec> spec = DecodeJobSpec(text);
  return !spec.ok() && std::string(spec.status().message()).find(part) != std::string::npos;
}

}  // namespace

Test(job_codec, encode_then_decode_returns_the_same_specification) {
  cr_assert(rc::check("encode and decode a specification", [] {
    const JobSpec spec = ArbitraryJobSpec();
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

Test(job_codec, decode_invalid_type_or_range_names_the_field) {
  cr_assert(IsRejectedWith("[]", "not a JSON object"));
  cr_assert(IsRejectedWith(R"({"workspace":"a","key":"k","tasks":65})", "'tasks' is 65"));
  cr_assert(IsRejectedWith(R"({"workspace":"a","key":"k","task":1})", "unknown field 'task'"));
  cr_assert(IsRejectedWith(R"({"workspace":"a","key":"k","tasks":"x"})", "unexpected JSON"));
  cr_assert(IsRejectedWith(R"({"workspace":"a","key":""})", "'key'"));
  cr_assert(IsRejectedWith(R"({"workspace":"a","key":"k","urgency":"soon"})", "'urgency'"));
}

Test(job_codec, decode_unknown_verdict_returns_may_have_run) {
  JobRecord job;
  job.spec.workspace = WorkspaceId("team");
  std::string text = EncodeJob(job);
  const std::string verdict = "\"not run\"";
  text.replace(text.find(verdict), verdict.size(), "\"?\"");
  cr_assert(DecodeJob(text)->verdict == Verdict::kMayHaveRun);
}

Test(job_file, several_errors_are_all_reported) {
  const absl::StatusOr<JobSpec> spec =
      ParseJobFile("[job]\nworkspace = \"a\"\ntasks = 0\nrun_time = 5\n", "job.toml");
  const std::string errors(spec.status().message());
  for (const char* const part : {"job.key", "job.toml:3: job.tasks", "job.toml:4: job.run_time"}) {
    cr_assert(errors.find(part) != std::string::npos, "%s is not reported", part);
  }
}

}  // namespace papayalift
