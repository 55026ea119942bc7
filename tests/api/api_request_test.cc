#include "libraries/node/api_request.h"

#include <criterion/criterion.h>

namespace papayalift {

Test(api_request, path_segment_beyond_the_end_is_empty) {
  cr_assert_eq(PathSegment("/v1/jobs/abc", 2), "abc");
  cr_assert_eq(PathSegment("/v1/jobs/abc", 3), "");
  cr_assert_eq(PathSegment("/", 0), "");
}

Test(api_request, pattern_needs_the_same_count_of_segments) {
  cr_assert(MatchesPattern("/v1/jobs/abc", "/v1/jobs/*"));
  cr_assert_not(MatchesPattern("/v1/jobs", "/v1/jobs/*"));
  cr_assert_not(MatchesPattern("/v1/jobs/abc/wait", "/v1/jobs/*"));
  cr_assert_not(MatchesPattern("/v1/calls/abc", "/v1/jobs/*"));
}

Test(api_request, operator_request_without_operator_is_refused) {
  cr_assert_not(DecodeOperatorRequest(R"({"state":"out"})").ok());
  cr_assert_not(DecodeOperatorRequest(R"({"operator":7})").ok());
  cr_assert_not(DecodeOperatorRequest("not JSON").ok());
  cr_assert(DecodeOperatorRequest(R"({"operator":"ana","state":"out"})")->state == "out");
}

}  // namespace papayalift
