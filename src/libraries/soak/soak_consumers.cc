#include "libraries/soak/soak_consumers.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "libraries/log/log_event.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr Milliseconds kRequestTimeout{3'500};
constexpr Milliseconds kRetryPause{250};
constexpr Milliseconds kQueryInterval{700};
constexpr int kMaxAttempts = 6;
constexpr int kMaxTasks = 6;
constexpr int kMaxAccelerators = 3;
constexpr int kMinTaskMs = 100;
constexpr int kMaxTaskMs = 1'500;
/// One in this many jobs is cancelled, and one in this many is resubmitted after its acceptance.
constexpr int kOneInCancelled = 6;
constexpr int kOneInResubmitted = 8;
constexpr int kMaxFollowUpDelayMs = 2'500;
/// Time after which every node must know an accepted job.
constexpr Milliseconds kVisibilityBound{3'000};

constexpr int kOk = 200;
constexpr int kGone = 410;

bool IsRejection(int status) { return status == 429 || status == 503 || status == 401; }

}  // namespace

SoakConsumers::SoakConsumers(EventLoop& loop, AsyncHttpClient& http, SoakConsumerSettings settings,
                             WasFaultFree was_fault_free)
    : m_loop(loop),
      m_http(http),
      m_settings(std::move(settings)),
      m_was_fault_free(std::move(was_fault_free)),
      m_random(m_settings.seed) {}

void SoakConsumers::Start() { SubmitLater(); }

int SoakConsumers::Number(int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(m_random);
}

void SoakConsumers::RecordBroken(const JobId& id, const std::string& what) {
  m_broken.push_back(fmt::format("{}: {}", id.text(), what));
}

// --- submit ---

void SoakConsumers::SubmitLater() {
  const Milliseconds gap(Number(1, 2 * static_cast<int>(m_settings.mean_gap.count())));
  m_loop.After(gap, [this] {
    if (m_is_submitting) {
      MakeJob();
      SubmitLater();
    }
  });
}

void SoakConsumers::MakeJob() {
  SoakJob job;
  job.id = JobId(fmt::format("{:016x}", m_random()));
  const int steps = Number(1, 4) == 1 ? 2 : 1;
  Json phases = Json::array();
  for (int step = 0; step < steps; ++step) {
    const int count = Number(1, kMaxTasks);
    Json phase{{"count", count},
               {"cpu", 500},
               {"memMb", 256},
               {"gpu", Number(1, kMaxAccelerators)},
               {"estimateMs", 600}};
    if (Number(0, 1) == 1) {
      phase["gang"] = true;
    }
    if (step > 0) {
      phase["after"] = Json::array({step - 1});
    }
    job.tasks += count;
    phases.push_back(std::move(phase));
  }
  job.body = Json{{"spec", "soak"}, {"phases", phases}}.dump();
  job.cancel_is_wanted = Number(1, kOneInCancelled) == 1;
  const JobId id = job.id;
  m_jobs[id] = std::move(job);
  RegisterWithStandIn(id, Milliseconds(Number(kMinTaskMs, kMaxTaskMs)));
}

void SoakConsumers::RegisterWithStandIn(const JobId& id, Milliseconds duration) {
  AsyncHttpCall call;
  call.call.url =
      fmt::format("{}know?job={}&duration={}", m_settings.control, id.text(), duration.count());
  call.call.body = m_jobs.at(id).body;
  m_http.Send(std::move(call), [this, id, duration](const HttpOutcome& outcome) {
    if (outcome.result == HttpCallResult::kAnswered && outcome.status == HttpStatus::kOk) {
      Submit(id);
      return;
    }
    LogEvent(LogLevel::kWarning, "soak", "failed to register a job with the stand-in; retrying")
        .Job(id)
        .Reason(outcome.error)
        .Write();
    m_loop.After(kRetryPause, [this, id, duration] { RegisterWithStandIn(id, duration); });
  });
}

void SoakConsumers::Submit(const JobId& id) {
  ++m_jobs.at(id).attempts;
  Send(HttpMethod::kPost, id, m_jobs.at(id).body, &SoakConsumers::OnSubmitted);
}

void SoakConsumers::OnSubmitted(const JobId& id, const Answer& answer) {
  SoakJob& job = m_jobs.at(id);
  if (answer.status == kOk) {
    const bool is_first = job.submit_outcome != SubmitOutcome::kAccepted;
    job.submit_outcome = SubmitOutcome::kAccepted;
    if (!is_first) {
      return;
    }
    job.accepted_at = Now();
    QueryLater(id);
    if (job.cancel_is_wanted) {
      m_loop.After(Milliseconds(Number(0, kMaxFollowUpDelayMs)), [this, id] { Cancel(id); });
    } else if (Number(1, kOneInResubmitted) == 1) {
      m_loop.After(Milliseconds(Number(0, kMaxFollowUpDelayMs)), [this, id] { Submit(id); });
    }
    return;
  }
  if (job.submit_outcome == SubmitOutcome::kAccepted) {
    return;
  }
  job.has_unclear_attempt = job.has_unclear_attempt || !IsRejection(answer.status);
  if (job.attempts < kMaxAttempts) {
    m_loop.After(kRetryPause, [this, id] { Submit(id); });
  } else if (!job.has_unclear_attempt) {
    job.submit_outcome = SubmitOutcome::kRejected;
  }
}

// --- query ---

void SoakConsumers::QueryLater(const JobId& id) {
  m_loop.After(kQueryInterval, [this, id] { Query(id); });
}

void SoakConsumers::Query(const JobId& id) {
  Send(HttpMethod::kGet, id, "", &SoakConsumers::OnQueried);
}

void SoakConsumers::OnQueried(const JobId& id, const Answer& answer) {
  SoakJob& job = m_jobs.at(id);
  if (answer.status == kGone && answer.sent_at > *job.accepted_at + kVisibilityBound) {
    RecordBroken(id, "unknown, though it was accepted");
  }
  if (answer.status == kOk) {
    const absl::StatusOr<Json> body = ParseJsonObject(answer.body);
    const std::string state = body.ok() ? body->value("state", std::string()) : "";
    if (const std::string wrong = CheckReportedState(job, state); !wrong.empty()) {
      RecordBroken(id, wrong);
    }
    job.state = state;
  }
  const bool is_over = IsEndState(job.state) && (!job.cancel_is_wanted || job.cancelled_at);
  if (!is_over) {
    QueryLater(id);
  }
}

// --- cancel ---

void SoakConsumers::Cancel(const JobId& id) {
  m_jobs.at(id).cancel_was_sent = true;
  Send(HttpMethod::kDelete, id, "", &SoakConsumers::OnCancelled);
}

void SoakConsumers::OnCancelled(const JobId& id, const Answer& answer) {
  if (answer.status == kOk || answer.status == kGone) {
    m_jobs.at(id).cancelled_at = Now();
    return;
  }
  m_loop.After(kRetryPause, [this, id] { Cancel(id); });
}

// --- requests ---

void SoakConsumers::Send(HttpMethod method, const JobId& id, const std::string& body,
                         void (SoakConsumers::*take)(const JobId&, const Answer&)) {
  Answer answer;
  answer.node = static_cast<std::size_t>(Number(0, static_cast<int>(m_settings.nodes.size()) - 1));
  answer.sent_at = Now();
  AsyncHttpCall call;
  call.call.method = method;
  call.call.url = m_settings.nodes[answer.node] + "/scan/" + id.text();
  call.call.body = body;
  call.call.timeout = kRequestTimeout;
  call.headers = {"Host: shop.example", "X-Key: " + m_key, "X-Deadline-Ms: 3000"};
  m_http.Send(std::move(call), [this, id, answer, take](const HttpOutcome& outcome) mutable {
    if (outcome.result == HttpCallResult::kAnswered) {
      ++m_answered;
      answer.status = static_cast<int>(outcome.status);
      answer.body = outcome.body;
    } else {
      NoteUnanswered(id, answer, outcome.error);
    }
    (this->*take)(id, answer);
  });
}

void SoakConsumers::NoteUnanswered(const JobId& id, const Answer& answer,
                                   const std::string& error) {
  ++m_unanswered;
  if (m_settings.bounds == SoakBounds::kTimed &&
      m_was_fault_free(answer.node, answer.sent_at, Now())) {
    RecordBroken(
        id,
        fmt::format("node {} did not answer; failed after {} ms although no fault affected it: {}",
                    answer.node, (Now() - answer.sent_at).count(), error));
  }
}

// --- the end ---

bool SoakConsumers::AllSettled() const {
  return std::all_of(m_jobs.begin(), m_jobs.end(), [](const auto& entry) {
    const SoakJob& job = entry.second;
    if (job.submit_outcome == SubmitOutcome::kAccepted) {
      return IsEndState(job.state) && (!job.cancel_is_wanted || job.cancelled_at.has_value());
    }
    return job.submit_outcome == SubmitOutcome::kRejected || job.attempts >= kMaxAttempts;
  });
}

std::vector<SoakJob> SoakConsumers::Jobs() const {
  std::vector<SoakJob> jobs;
  for (const auto& [id, job] : m_jobs) {
    jobs.push_back(job);
  }
  return jobs;
}

}  // namespace papayalift
