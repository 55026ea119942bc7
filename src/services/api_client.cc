#include "services/api_client.h"

#include <fmt/format.h>

#include <utility>

#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr Milliseconds kAnswerLimit{40'000};

/// An answer that is cut short or of another's making is never taken as whole.
ApiAnswer UnreadableAnswer() {
  ApiAnswer answer;
  answer.exit_code = ExitCode::kMayHaveRun;
  answer.error = "the answer can't be read; it may have run";
  return answer;
}

}  // namespace

ExitCode ExitCodeOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kRan:
      return ExitCode::kFailed;
    case Verdict::kNotRun:
      return ExitCode::kNotRun;
    case Verdict::kMayHaveRun:
      return ExitCode::kMayHaveRun;
  }
  return ExitCode::kMayHaveRun;
}

ApiAnswer ApiClient::Get(const std::string& path) { return Send(HttpMethod::kGet, path, ""); }

ApiAnswer ApiClient::Post(const std::string& path, std::string body) {
  return Send(HttpMethod::kPost, path, std::move(body));
}

ApiAnswer ApiClient::Send(HttpMethod method, const std::string& path, std::string body) {
  HttpCall call;
  call.method = method;
  call.url = fmt::format("http://{}{}", m_node, path);
  call.body = std::move(body);
  call.timeout = kAnswerLimit;
  const HttpOutcome outcome = m_client.Send(call);
  ApiAnswer answer;
  if (outcome.result != HttpCallResult::kAnswered) {
    const bool not_sent = outcome.result == HttpCallResult::kNotSent;
    answer.exit_code = not_sent ? ExitCode::kNotRun : ExitCode::kMayHaveRun;
    answer.error = fmt::format("entry node {}: {}; it {}", m_node, outcome.error,
                               not_sent ? "did not run" : "may have run");
    return answer;
  }
  answer.body = outcome.body;
  if (StatusCodeOf(outcome.status) == absl::StatusCode::kOk) {
    return answer;
  }
  const absl::StatusOr<Json> json = ParseJsonObject(outcome.body);
  if (!json.ok()) {
    return UnreadableAnswer();
  }
  const Verdict verdict =
      VerdictFromText(json->value("verdict", "")).value_or(Verdict::kMayHaveRun);
  answer.exit_code = ExitCodeOf(verdict);
  answer.error =
      fmt::format("{} ({})", json->value("error", json->value("reason", "")), VerdictText(verdict));
  return answer;
}

}  // namespace papayalift
