#include "libraries/soak/soak_runner.h"

#include <utility>

#include "libraries/base/try.h"
#include "libraries/http/async_http_client.h"
#include "libraries/model/json_document.h"
#include "libraries/soak/soak_faults.h"

namespace papayalift {

namespace {

constexpr int kMaxIdleConnections = 64;
constexpr Milliseconds kSettlePollInterval{200};
/// Time after which a job reported as ended no longer runs on any minion.
constexpr Milliseconds kFinalCheckDelay{4'000};

class Runner {
 public:
  Runner(EventLoop& loop, const SoakOptions& options)
      : m_loop(loop),
        m_options(options),
        m_http(loop, kMaxIdleConnections),
        m_faults(loop, m_http,
                 SoakFaultSettings{options.size, options.directory, options.base_port},
                 SoakFaultCallbacks{
                     [this](const std::string& key) { m_consumers.UseKey(key); },
                     [this](const std::string& what) { m_result.broken.push_back(what); }}),
        m_consumers(loop, m_http, ConsumersOf(options),
                    [this](std::size_t node, Milliseconds from, Milliseconds until) {
                      return m_faults.WasFaultFree(node, from, until);
                    }) {}

  absl::Status Open() { return m_faults.OpenLinks(); }

  SoakResult Run() {
    m_faults.PutManifest();
    m_consumers.Start();
    for (const SoakStep& step : MakeSoakPlan(m_options.seed, m_options.size)) {
      ++m_result.faults;
      m_loop.After(step.at, [this, step] { m_faults.Begin(step); });
    }
    m_loop.After(m_options.size.duration, [this] { EndFaults(); });
    m_loop.Run();
    return std::move(m_result);
  }

 private:
  static SoakConsumerSettings ConsumersOf(const SoakOptions& options) {
    SoakConsumerSettings settings;
    settings.seed = options.seed;
    settings.bounds = options.bounds;
    settings.control = SoakControlUrl(options.base_port);
    for (int node = 0; node < options.size.nodes; ++node) {
      settings.nodes.push_back(SoakNodeUrl(options.base_port, node));
    }
    return settings;
  }

  void EndFaults() {
    m_consumers.StopSubmitting();
    m_faults.EndAll();
    m_settle_until = m_loop.clock().Now() + m_options.settle;
    WaitForJobs();
  }

  void WaitForJobs() {
    if (m_consumers.AllSettled() || m_loop.clock().Now() >= m_settle_until) {
      m_loop.After(kFinalCheckDelay, [this] { ReadRecords(); });
      return;
    }
    m_loop.After(kSettlePollInterval, [this] { WaitForJobs(); });
  }

  void ReadRecords() {
    Query("broken", [this](const Json& broken) {
      for (const Json& line : broken) {
        m_result.broken.push_back(line.get<std::string>());
      }
      Query("jobs", [this](const Json& records) { Finish(records); });
    });
  }

  void Query(const std::string& what, std::function<void(const Json&)> take) {
    AsyncHttpCall call;
    call.call.method = HttpMethod::kGet;
    call.call.url = SoakControlUrl(m_options.base_port) + what;
    m_http.Send(std::move(call), [this, what, take = std::move(take)](const HttpOutcome& outcome) {
      const Json json = Json::parse(outcome.body, nullptr, false);
      if (!json.is_array()) {
        m_result.broken.push_back("the stand-in did not answer " + what + " " + outcome.error);
        m_loop.Stop();
        return;
      }
      take(json);
    });
  }

  void Finish(const Json& rows) {
    std::vector<SoakJobRecord> records;
    for (const Json& row : rows) {
      records.push_back(SoakJobRecord{
          JobId(row.at("job").get<std::string>()), row.at("starts").get<int>(),
          Milliseconds(row.at("last_order_ms").get<std::int64_t>()), row.at("running").get<int>(),
          row.at("done").get<int>(), Milliseconds(row.at("stood_ms").get<std::int64_t>())});
    }
    const std::vector<SoakJob> jobs = m_consumers.Jobs();
    for (const std::vector<std::string>& lines :
         {m_consumers.broken(), CheckSoakEnd(jobs, records, m_options.bounds)}) {
      m_result.broken.insert(m_result.broken.end(), lines.begin(), lines.end());
    }
    m_result.longest_standstill = LongestStandstill(jobs, records);
    CountJobs(jobs);
    m_result.answered = m_consumers.answered();
    m_result.unanswered = m_consumers.unanswered();
    m_loop.Stop();
  }

  void CountJobs(const std::vector<SoakJob>& jobs) {
    for (const SoakJob& job : jobs) {
      ++m_result.jobs;
      m_result.accepted += job.submit_outcome == SubmitOutcome::kAccepted ? 1 : 0;
      m_result.rejected += job.submit_outcome == SubmitOutcome::kRejected ? 1 : 0;
      m_result.done += job.state == "done" ? 1 : 0;
      m_result.cancelled += job.state == "cancelled" ? 1 : 0;
    }
  }

  EventLoop& m_loop;
  const SoakOptions m_options;
  AsyncHttpClient m_http;
  SoakFaults m_faults;
  SoakConsumers m_consumers;
  SoakResult m_result;
  Milliseconds m_settle_until{0};
};

}  // namespace

absl::StatusOr<SoakResult> RunSoak(EventLoop& loop, const SoakOptions& options) {
  Runner runner(loop, options);
  TRY(runner.Open());
  return runner.Run();
}

}  // namespace papayalift
