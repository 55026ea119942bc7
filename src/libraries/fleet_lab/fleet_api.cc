#include "libraries/fleet_lab/fleet_api.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include "libraries/base/try.h"
#include "libraries/calls/call_codec.h"
#include "libraries/model/bundle_codec.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr Milliseconds kReadTimeout{2'000};
constexpr Milliseconds kChangeTimeout{8'000};
/// Time that a caller waits for the node's answer beyond the call's own limit.
constexpr Milliseconds kCallGrace{3'000};
constexpr std::size_t kMaxConcurrentCancels = 16;

bool IsAccepted(const HttpOutcome& outcome) {
  return outcome.result == HttpCallResult::kAnswered &&
         StatusCodeOf(outcome.status) == absl::StatusCode::kOk;
}

absl::Status ErrorOf(const HttpOutcome& outcome) {
  return absl::UnavailableError(outcome.error.empty() ? outcome.body : outcome.error);
}

std::string ReasonOf(const HttpOutcome& outcome) {
  const absl::StatusOr<Json> json = ParseJsonObject(outcome.body);
  if (!json.ok()) {
    return outcome.error;
  }
  return json->value("error", json->value("reason", ""));
}

std::string ResultOf(const CallRequest& request) { return "done: " + request.payload; }

/// Classifies an answer whose HTTP body is complete.
void ClassifyAnswer(const CallRequest& request, const HttpOutcome& outcome, CallObservation& seen) {
  const absl::StatusOr<CallResult> result = DecodeCallResult(outcome.body);
  const bool foreign =
      !result.ok() || (!result->request_id.empty() && result->request_id != request.request_id);
  seen.answer = foreign ? AnswerKind::kForeign : AnswerKind::kOwn;
  seen.verdict = result.ok() ? result->verdict : Verdict::kMayHaveRun;
  seen.reason = ReasonOf(outcome);
  const bool ran = !foreign && result->verdict == Verdict::kRan;
  if (ran && (result->request_id != request.request_id || result->result != ResultOf(request))) {
    seen.answer = AnswerKind::kForeign;
  }
}

HttpCall CallOf(const FleetNode& node, const std::string& path, std::string body,
                Milliseconds limit) {
  HttpCall call;
  call.url = "http://" + node.address + path;
  call.body = std::move(body);
  call.timeout = limit;
  return call;
}

}  // namespace

HttpOutcome FleetApi::Get(const FleetNode& node, const std::string& path) {
  HttpCall call = CallOf(node, path, "", kReadTimeout);
  call.method = HttpMethod::kGet;
  return m_client->Send(call);
}

HttpOutcome FleetApi::Post(const FleetNode& node, const std::string& path, std::string body,
                           Milliseconds limit) {
  return m_client->Send(CallOf(node, path, std::move(body), limit));
}

void FleetApi::Call(const FleetNode& node, const std::string& service, const CallRequest& request,
                    CallObservation& seen) {
  const HttpOutcome outcome =
      Post(node, "/v1/calls/" + service, EncodeCallRequest(request), request.limit + kCallGrace);
  seen.node = node.id;
  if (outcome.result == HttpCallResult::kAnswered) {
    ClassifyAnswer(request, outcome, seen);
    return;
  }
  const bool not_sent = outcome.result == HttpCallResult::kNotSent;
  seen.answer = not_sent ? AnswerKind::kNotSent : AnswerKind::kNone;
  seen.verdict = not_sent ? Verdict::kNotRun : Verdict::kMayHaveRun;
  seen.reason = outcome.error;
}

void FleetApi::Submit(const FleetNode& node, JobObservation& seen) {
  const HttpOutcome outcome = Post(node, "/v1/jobs", EncodeJobSpec(seen.spec), kChangeTimeout);
  seen.node = node.id;
  seen.reason = ReasonOf(outcome);
  if (outcome.result == HttpCallResult::kNotSent) {
    seen.submit = SubmitResult::kRefused;
    return;
  }
  if (IsAccepted(outcome)) {
    const absl::StatusOr<JobRecord> record = DecodeJob(outcome.body);
    seen.submit = record.ok() ? SubmitResult::kAccepted : SubmitResult::kUnclear;
    seen.record = record.value_or(JobRecord{});
    return;
  }
  const absl::StatusOr<Json> json = ParseJsonObject(outcome.body);
  const std::string verdict = json.ok() ? json->value("verdict", "") : "";
  seen.submit =
      verdict == VerdictText(Verdict::kNotRun) ? SubmitResult::kRefused : SubmitResult::kUnclear;
}

std::optional<JobRecord> FleetApi::Show(const FleetNode& node, const JobId& job) {
  const HttpOutcome outcome = Get(node, "/v1/jobs/" + job.text());
  const absl::StatusOr<JobRecord> record = DecodeJob(outcome.body);
  if (!IsAccepted(outcome) || !record.ok()) {
    return std::nullopt;
  }
  return *record;
}

std::map<JobId, JobRecord> FleetApi::List(const FleetNode& node) {
  std::map<JobId, JobRecord> jobs;
  const absl::StatusOr<Json> list = ParseJsonObject(Get(node, "/v1/jobs").body);
  if (!list.ok()) {
    return jobs;
  }
  for (const Json& entry : list->value("jobs", Json::array())) {
    const absl::StatusOr<JobRecord> record = DecodeJob(entry.dump());
    if (record.ok()) {
      jobs[record->id] = *record;
    }
  }
  return jobs;
}

void FleetApi::CancelAll(const std::vector<FleetNode>& nodes, const std::vector<JobId>& jobs) {
  for (std::size_t first = 0; first < jobs.size(); first += kMaxConcurrentCancels) {
    std::vector<HttpCall> calls;
    const std::size_t end = std::min(jobs.size(), first + kMaxConcurrentCancels);
    for (std::size_t index = first; index < end; ++index) {
      calls.push_back(CallOf(nodes[index % nodes.size()],
                             "/v1/jobs/" + jobs[index].text() + "/cancel", "{}", kChangeTimeout));
    }
    m_client->SendAll(calls);
  }
}

absl::StatusOr<BundleRecord> FleetApi::SubmitBundle(const FleetNode& node,
                                                    const std::string& operator_name,
                                                    const std::string& text) {
  const Json body{{"operator", operator_name}, {"text", text}};
  const HttpOutcome outcome = Post(node, "/v1/bundles", body.dump(), kChangeTimeout);
  return IsAccepted(outcome) ? DecodeBundleRecord(outcome.body) : ErrorOf(outcome);
}

absl::Status FleetApi::SignOff(const FleetNode& node, const std::string& operator_name,
                               const BundleRecord& record) {
  const Json body{{"operator", operator_name}, {"digest", record.digest}};
  const HttpOutcome outcome =
      Post(node, fmt::format("/v1/bundles/{}/sign-off", record.version.value()), body.dump(),
           kChangeTimeout);
  return IsAccepted(outcome) ? absl::OkStatus() : ErrorOf(outcome);
}

absl::StatusOr<BundleVersion> FleetApi::CurrentBundle(const FleetNode& node) {
  const HttpOutcome outcome = Get(node, "/v1/bundles");
  if (!IsAccepted(outcome)) {
    return ErrorOf(outcome);
  }
  const Json json = TRY(ParseJsonObject(outcome.body));
  return BundleVersion(json.value("current", std::int64_t{0}));
}

absl::StatusOr<BundleRecord> FleetApi::ReadBundle(const FleetNode& node, BundleVersion version) {
  const HttpOutcome outcome = Get(node, fmt::format("/v1/bundles/{}", version.value()));
  return IsAccepted(outcome) ? DecodeBundleRecord(outcome.body) : ErrorOf(outcome);
}

absl::StatusOr<std::vector<ZoneId>> FleetApi::ZonesOut(const FleetNode& node) {
  const HttpOutcome outcome = Get(node, "/v1/zones");
  if (!IsAccepted(outcome)) {
    return ErrorOf(outcome);
  }
  const Json json = TRY(ParseJsonObject(outcome.body));
  std::vector<ZoneId> out;
  for (const Json& zone : json.value("zones", Json::array())) {
    if (zone.value("state", "") == "out") {
      out.push_back(IdAt<ZoneId>(zone, "zone"));
    }
  }
  return out;
}

OperatorChange FleetApi::RollOf(const FleetNode& node, const std::string& operator_name,
                                BundleVersion version, BundleVersion seen) {
  const Json body{{"operator", operator_name}, {"seen", seen.value()}};
  return OperatorChange{node, fmt::format("/v1/bundles/{}/roll", version.value()), body.dump()};
}

OperatorChange FleetApi::ZoneChangeOf(const FleetNode& node, const std::string& operator_name,
                                      const ZoneId& zone, const std::string& state) {
  const Json body{{"operator", operator_name}, {"state", state}, {"reason", "fleet lab"}};
  return OperatorChange{node, "/v1/zones/" + zone.text(), body.dump()};
}

std::vector<bool> FleetApi::Change(const std::vector<OperatorChange>& changes) {
  std::vector<HttpCall> calls;
  calls.reserve(changes.size());
  for (const OperatorChange& change : changes) {
    calls.push_back(CallOf(change.node, change.path, change.body, kChangeTimeout));
  }
  std::vector<bool> accepted;
  for (const HttpOutcome& outcome : m_client->SendAll(calls)) {
    accepted.push_back(IsAccepted(outcome));
  }
  return accepted;
}

std::map<std::string, double> FleetApi::Counters(const FleetNode& node,
                                                 const std::vector<std::string>& words) {
  std::map<std::string, double> counters;
  std::istringstream lines(Get(node, "/metrics").body);
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t space = line.rfind(' ');
    if (space == std::string::npos) {
      continue;
    }
    const std::string name = line.substr(0, space);
    const bool wanted = std::any_of(words.begin(), words.end(), [&name](const std::string& word) {
      return name.find(word) != std::string::npos;
    });
    double value = 0;
    std::from_chars(line.data() + space + 1, line.data() + line.size(), value);
    if (wanted) {
      counters[name] = value;
    }
  }
  return counters;
}

}  // namespace papayalift
