#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <random>
#include <thread>

#include "libraries/calls/call_codec.h"
#include "libraries/log/json_log_sink.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/json_document.h"
#include "services/api_client.h"
#include "services/command_output.h"
#include "services/commands.h"
#include "services/demo_fleet.h"
#include "services/demo_report.h"

namespace papayalift {

namespace {

constexpr std::chrono::seconds kDemoTimeout{55};
constexpr std::chrono::milliseconds kPollInterval{200};

struct DemoOptions {
  std::uint64_t seed = 1;
  int jobs = 16;
  DemoSize size;
};

DemoJob MakeJob(const std::string& key, int tasks, int accelerators, int run_ms,
                ExpectedOutcome expected) {
  DemoJob job;
  job.spec.workspace = WorkspaceId(tasks % 2 == 0 ? "clinics" : "bakeries");
  job.spec.key = CallerKey(key);
  job.spec.shape = Shape{TaskCount(tasks), AcceleratorCount(accelerators)};
  job.spec.declared_run_time = Milliseconds(run_ms);
  job.spec.payload = fmt::format("run {}ms", run_ms);
  job.expected = expected;
  return job;
}

std::vector<DemoJob> MakeJobs(const DemoOptions& options) {
  constexpr int kLongRunMs = 60'000;
  std::mt19937_64 random(options.seed);
  std::uniform_int_distribution<int> run_ms(300, 4'000);
  std::uniform_int_distribution<int> size(0, 3);
  constexpr int kTasks[] = {1, 2, 8, 16};
  std::vector<DemoJob> jobs;
  jobs.push_back(MakeJob("whole-zone", 64, 1, run_ms(random), ExpectedOutcome::kSucceeds));
  jobs.push_back(MakeJob("never-fits", 64, 8, run_ms(random), ExpectedOutcome::kRefused));
  jobs.push_back(MakeJob("cancelled", 4, 1, kLongRunMs, ExpectedOutcome::kCancelled));
  for (int index = 0; index < options.jobs; ++index) {
    jobs.push_back(MakeJob(fmt::format("job-{}", index + 1), kTasks[size(random)], 1,
                           run_ms(random), ExpectedOutcome::kSucceeds));
  }
  return jobs;
}

class Demo {
 public:
  Demo(const DemoOptions& options, const DemoFleet& fleet)
      : m_fleet(fleet),
        m_jobs(MakeJobs(options)),
        m_deadline(std::chrono::steady_clock::now() + kDemoTimeout) {
    for (const std::string& address : fleet.nodes()) {
      m_clients.push_back(std::make_unique<ApiClient>(address));
    }
  }

  /// Returns whether all jobs and calls ended as expected.
  bool Run() {
    if (!RollBundle() || !WaitUntilInForce()) {
      fmt::print("the bundle could not be rolled\n");
      return false;
    }
    SubmitAll();
    CancelJobs();
    const bool calls_correct = CallService();
    WaitForAllJobs();
    fmt::print("\n{}", DemoTable(m_jobs));
    bool all_correct = calls_correct;
    for (const DemoJob& job : m_jobs) {
      all_correct = all_correct && MatchesExpectation(job);
    }
    fmt::print("{}\n", all_correct ? "all answers were right" : "some answers were WRONG");
    return all_correct;
  }

 private:
  ApiClient& Client(std::size_t index) { return *m_clients[index % m_clients.size()]; }

  bool IsPastDeadline() const { return std::chrono::steady_clock::now() > m_deadline; }

  bool RollBundle() {
    const Json submit{{"operator", "demo"}, {"text", m_fleet.bundle()}};
    const ApiResponse submitted = Client(0).Post("/v1/bundles", submit.dump());
    const absl::StatusOr<Json> draft = ParseJsonObject(submitted.body);
    if (!submitted.ok() || !draft.ok()) {
      fmt::print("{}\n", submitted.error);
      return false;
    }
    const Json sign_off{{"operator", "demo"}, {"digest", draft->value("digest", "")}};
    const Json roll{{"operator", "demo"}, {"seen", 0}};
    return Client(1).Post("/v1/bundles/1/sign-off", sign_off.dump()).ok() &&
           Client(2).Post("/v1/bundles/1/roll", roll.dump()).ok();
  }

  bool WaitUntilInForce() {
    for (std::size_t index = 0; index < m_clients.size();) {
      const absl::StatusOr<Json> status = ParseJsonObject(Client(index).Get("/v1/status").body);
      const bool in_force = status.ok() && status->value("bundle_version", 0) == 1;
      if (!in_force && IsPastDeadline()) {
        return false;
      }
      if (in_force) {
        ++index;
      } else {
        std::this_thread::sleep_for(kPollInterval);
      }
    }
    fmt::print("bundle version 1 is in force on {} nodes\n", m_clients.size());
    return true;
  }

  void SubmitAll() {
    for (std::size_t index = 0; index < m_jobs.size(); ++index) {
      DemoJob& job = m_jobs[index];
      const ApiResponse response = Client(index).Post("/v1/jobs", EncodeJobSpec(job.spec));
      const absl::StatusOr<JobRecord> record = DecodeJob(response.body);
      if (response.ok() && record.ok()) {
        job.record = *record;
      } else {
        job.refusal = response.error;
      }
    }
    fmt::print("{} jobs submitted\n", m_jobs.size());
  }

  void CancelJobs() {
    for (const DemoJob& job : m_jobs) {
      if (job.expected == ExpectedOutcome::kCancelled) {
        std::this_thread::sleep_for(kPollInterval);
        Client(1).Post(fmt::format("/v1/jobs/{}/cancel", job.record.id.text()), "{}");
      }
    }
  }

  bool CallService() {
    constexpr int kCalls = 20;
    int correct_calls = 0;
    for (int index = 0; index < kCalls; ++index) {
      CallRequest request;
      request.request_id = fmt::format("demo-{}", index);
      request.payload = fmt::format("preview {}", index);
      const ApiResponse response = Client(static_cast<std::size_t>(index))
                                       .Post("/v1/calls/previews", EncodeCallRequest(request));
      const absl::StatusOr<CallResult> result = DecodeCallResult(response.body);
      const bool is_correct = response.ok() && result.ok() && result->verdict == Verdict::kRan &&
                              result->request_id == request.request_id &&
                              result->result == "done: " + request.payload;
      correct_calls += is_correct ? 1 : 0;
    }
    fmt::print("{} of {} calls returned the expected result\n", correct_calls, kCalls);
    return correct_calls == kCalls;
  }

  void WaitForAllJobs() {
    std::size_t ended = 0;
    while (ended < m_jobs.size() && !IsPastDeadline()) {
      ended = 0;
      for (std::size_t index = 0; index < m_jobs.size(); ++index) {
        ended += PollJob(index) ? 1 : 0;
      }
      fmt::print("\r{} of {} jobs have ended", ended, m_jobs.size());
      std::fflush(stdout);
      std::this_thread::sleep_for(kPollInterval);
    }
    fmt::print("\n");
  }

  /// Returns whether the job has ended.
  bool PollJob(std::size_t index) {
    JobRecord& record = m_jobs[index].record;
    if (record.id.empty() || IsFinal(record.state)) {
      return true;
    }
    const absl::StatusOr<JobRecord> latest =
        DecodeJob(Client(index).Get("/v1/jobs/" + record.id.text()).body);
    if (latest.ok()) {
      record = *latest;
    }
    return IsFinal(record.state);
  }

  const DemoFleet& m_fleet;
  std::vector<DemoJob> m_jobs;
  const std::chrono::steady_clock::time_point m_deadline;
  std::vector<std::unique_ptr<ApiClient>> m_clients;
};

void RunDemo(CommandContext& context, const DemoOptions& options) {
  InstallJsonLogSink(LogLevel::kError);
  const absl::StatusOr<std::unique_ptr<DemoFleet>> fleet = DemoFleet::Create(options.size);
  if (!fleet.ok()) {
    PrintUsageError(context, std::string(fleet.status().message()));
    return;
  }
  fmt::print("{} workers, {} minions and {} entry nodes in one process\n", options.size.workers,
             options.size.minions, options.size.nodes);
  if (!Demo(options, **fleet).Run()) {
    context.exit_code = ExitCode::kFailed;
  }
}

}  // namespace

void AddDemoCommand(CLI::App& app, CommandContext& context) {
  const std::shared_ptr<DemoOptions> options = std::make_shared<DemoOptions>();
  CLI::App* const demo =
      app.add_subcommand("demo", "Run a small fleet with stand-ins in one process");
  demo->add_option("--seed", options->seed, "Seed of the jobs")->capture_default_str();
  demo->add_option("--jobs", options->jobs, "Number of random jobs")
      ->check(CLI::Range(0, 200))
      ->capture_default_str();
  demo->callback([&context, options] { RunDemo(context, *options); });
}

}  // namespace papayalift
