#include "platform/job_request_codec.h"

#include <criterion/criterion.h>

namespace papayalift::platform {

Test(job_request_codec, request_is_decoded_with_host_key_and_budget) {
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.path = "/a/b";
  request.headers = {{"host", "shop.example:80"}, {"x-key", "k"}, {"x-deadline-ms", "1500"}};
  const JobRequest decoded = DecodeJobRequest(request);
  cr_assert(decoded.kind == JobRequestKind::kSubmit);
  cr_assert_eq(decoded.host, "shop.example");
  cr_assert_eq(decoded.key, "k");
  cr_assert_eq(decoded.budget.count(), 1'500);
}

Test(job_request_codec, invalid_budget_falls_back_to_default) {
  HttpRequest request;
  for (const char* const text : {"", "x", "-5", "0"}) {
    request.headers["x-deadline-ms"] = text;
    cr_expect_eq(DecodeJobRequest(request).budget.count(), 3'000, "%s", text);
  }
}

Test(job_request_codec, only_replies_that_mean_not_run_are_answered_503) {
  const auto status_of = [](JobReplyKind kind) {
    return static_cast<int>(EncodeJobReply(JobReply{kind, JobId()}).status);
  };
  cr_assert_eq(status_of(JobReplyKind::kUnavailable), 503);
  cr_assert_eq(status_of(JobReplyKind::kUnsupported), 503);
  cr_assert_eq(status_of(JobReplyKind::kWithdrawn), 503);
  cr_assert_eq(status_of(JobReplyKind::kIdTaken), 503);
  cr_assert_eq(status_of(JobReplyKind::kUnclear), 504);
  cr_assert_eq(status_of(JobReplyKind::kNoSuchJob), 410);
  cr_assert_eq(status_of(JobReplyKind::kNoSuchQueue), 404);
  cr_assert_eq(status_of(JobReplyKind::kBadKey), 401);
}

Test(job_request_codec, refusal_has_retry_after_header) {
  const HttpResponse response = EncodeJobReply(JobReply{JobReplyKind::kUnavailable, JobId()});
  cr_assert_eq(response.headers.at("Retry-After"), "1");
}

Test(job_request_codec, cancellation_beyond_the_limit_is_told_when_to_come_back) {
  JobReply reply{JobReplyKind::kTooManyCancellations, JobId()};
  reply.retry_after = Milliseconds(3'100);
  const HttpResponse response = EncodeJobReply(reply);
  cr_assert_eq(static_cast<int>(response.status), 429);
  cr_assert_eq(response.headers.at("Retry-After"), "4");
}

Test(job_request_codec, state_and_pending_count_are_in_the_body) {
  JobReply state{JobReplyKind::kState, JobId()};
  state.state = WorkState::kRunning;
  cr_assert_eq(EncodeJobReply(state).body, R"({"state":"running"})");
  JobReply pending{JobReplyKind::kPending, JobId()};
  pending.pending = 12;
  cr_assert_eq(EncodeJobReply(pending).body, R"({"pending":12})");
}

}  // namespace papayalift::platform
