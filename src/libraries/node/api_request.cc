#include "libraries/node/api_request.h"

#include <algorithm>
#include <charconv>

#include "libraries/model/json_document.h"

namespace papayalift {

std::string PathSegment(const std::string& path, int index) {
  std::size_t start = 1;
  for (int skipped = 0; skipped < index; ++skipped) {
    const std::size_t slash = path.find('/', start);
    if (slash == std::string::npos) {
      return "";
    }
    start = slash + 1;
  }
  return path.substr(start, path.find('/', start) - start);
}

bool MatchesPattern(const std::string& path, const std::string& pattern) {
  if (std::count(path.begin(), path.end(), '/') !=
      std::count(pattern.begin(), pattern.end(), '/')) {
    return false;
  }
  const std::int64_t parts = std::count(pattern.begin(), pattern.end(), '/');
  for (int index = 0; index < parts; ++index) {
    const std::string wanted = PathSegment(pattern, index);
    if (wanted != "*" && wanted != PathSegment(path, index)) {
      return false;
    }
  }
  return true;
}

std::int64_t ParseIntOr(const std::string& text, std::int64_t fallback) {
  std::int64_t number = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc{} ? number : fallback;
}

std::string QueryParameter(const HttpRequest& request, const std::string& key) {
  const auto found = request.query.find(key);
  return found == request.query.end() ? "" : found->second;
}

absl::StatusOr<OperatorRequest> DecodeOperatorRequest(std::string_view body) {
  return DecodeRecord<OperatorRequest>(
      body, [](const Json& json) -> absl::StatusOr<OperatorRequest> {
        OperatorRequest request;
        request.actor = IdAt<OperatorId>(json, "operator");
        request.reason = json.value("reason", "");
        request.text = json.value("text", "");
        request.digest = json.value("digest", "");
        request.version = BundleVersion(json.value("version", std::int64_t{0}));
        request.seen = BundleVersion(json.value("seen", std::int64_t{0}));
        request.state = json.value("state", "");
        if (request.actor.empty()) {
          return absl::InvalidArgumentError("'operator' is missing: say who makes the change");
        }
        return request;
      });
}

}  // namespace papayalift
