/// Reading of what comes with a request to the API.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/http/http_message.h"

namespace papayalift {

/// The path's part `index`, counted from 0: "/v1/jobs/abc" has "v1", "jobs", "abc".
std::string PathSegment(const std::string& path, int index);

/// Whether `path` has the form of `pattern`, in which "*" stands for any one part.
bool MatchesPattern(const std::string& path, const std::string& pattern);

/// `fallback` where `text` is no number.
std::int64_t ParseIntOr(const std::string& text, std::int64_t fallback);

/// Empty where the query does not name `key`.
std::string QueryParameter(const HttpRequest& request, const std::string& key);

/// What operators send with a change.
struct OperatorRequest {
  OperatorId actor;
  std::string reason;
  std::string text;
  std::string digest;
  BundleVersion version;
  BundleVersion seen;
  std::string state;
};

/// kInvalidArgument where it does not say who makes the change.
absl::StatusOr<OperatorRequest> DecodeOperatorRequest(std::string_view body);

}  // namespace papayalift
