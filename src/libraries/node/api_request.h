/// Decodes paths, queries and bodies of API requests.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/http/http_message.h"

namespace papayalift {

/// Returns segment `index` of the path, counted from 0: "/v1/jobs/abc" has "v1", "jobs", "abc".
/// Empty where the path has fewer segments.
std::string PathSegment(const std::string& path, int index);

/// Whether `path` matches `pattern`, in which "*" matches exactly one segment.
bool MatchesPattern(const std::string& path, const std::string& pattern);

/// Returns `fallback` where `text` does not begin with a number.
std::int64_t ParseIntOr(const std::string& text, std::int64_t fallback);

/// Empty where the query has no `key`.
std::string QueryParameter(const HttpRequest& request, const std::string& key);

/// The body of an operator's change request.
struct OperatorRequest {
  OperatorId actor;
  std::string reason;
  std::string text;
  std::string digest;
  BundleVersion version;
  BundleVersion seen;
  std::string state;
};

/// Fails with kInvalidArgument where `body` names no operator.
absl::StatusOr<OperatorRequest> DecodeOperatorRequest(std::string_view body);

}  // namespace papayalift
