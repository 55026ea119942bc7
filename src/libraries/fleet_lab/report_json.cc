#include "libraries/fleet_lab/report_json.h"

#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

Json WorkJson(const WorkFigures& work) {
  constexpr double kMillisecondsPerSecond = 1'000.0;
  return Json{
      {"lasted_ms", work.lasted.count()},
      {"jobs_succeeded", work.jobs_ended},
      {"calls_run", work.calls_run},
      {"task_seconds", static_cast<double>(work.task_time.count()) / kMillisecondsPerSecond}};
}

Json PromisesJson(const LabResult& result) {
  Json promises = Json::array();
  for (const PromiseTally& tally : result.promises) {
    promises.push_back(Json{{"promise", PromiseText(tally.promise)},
                            {"checked", tally.checked},
                            {"broken", tally.broken},
                            {"traces", tally.traces}});
  }
  return promises;
}

}  // namespace

std::int64_t LabResult::broken() const {
  std::int64_t count = 0;
  for (const PromiseTally& tally : promises) {
    count += tally.broken;
  }
  return count;
}

std::string LabResultJson(const LabResult& result) {
  const RunFigures& figures = result.figures;
  const Json calls{{"per_second", figures.calls_per_second},
                   {"p50_ms", figures.call_p50.count()},
                   {"p99_ms", figures.call_p99.count()},
                   {"verdicts", figures.calls_by_verdict}};
  const Json jobs{{"start_p50_ms", figures.start_p50.count()},
                  {"start_p99_ms", figures.start_p99.count()},
                  {"states", figures.jobs_by_state},
                  {"refused", figures.jobs_refused}};
  const Json work{{"all", WorkJson(figures.all)},
                  {"store_away", WorkJson(figures.store_away)},
                  {"zone_out", WorkJson(figures.zone_out)}};
  const Json result_json{{"seed", result.seed},
                         {"lasted_ms", result.lasted.count()},
                         {"broken", result.broken()},
                         {"promises", PromisesJson(result)},
                         {"calls", calls},
                         {"jobs", jobs},
                         {"work", work},
                         {"takeover_ms", figures.takeover.count()},
                         {"longest_renewal_gap_ms", figures.longest_renewal_gap.count()},
                         {"longest_partial_gang_ms", figures.longest_partial_gang.count()},
                         {"store_calls_per_node_second", result.store_calls_per_node_second},
                         {"node_rates", result.node_rates},
                         {"steps_done", result.steps_done},
                         {"step_failures", result.step_failures}};
  return result_json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string LabResultText(const LabResult& result) {
  std::string text = fmt::format("{:<36} {:>9} {:>7}\n", "promise", "checked", "broken");
  for (const PromiseTally& tally : result.promises) {
    text += fmt::format("{:<36} {:>9} {:>7}\n", PromiseText(tally.promise), tally.checked,
                        tally.broken);
    for (const std::string& trace : tally.traces) {
      text += "  " + trace + "\n";
    }
  }
  const RunFigures& figures = result.figures;
  text += fmt::format("calls {:.0f} a second, p50 {} ms, p99 {} ms\n", figures.calls_per_second,
                      figures.call_p50.count(), figures.call_p99.count());
  text += fmt::format("starts p50 {} ms, p99 {} ms; takeover {} ms; longest partial gang {} ms\n",
                      figures.start_p50.count(), figures.start_p99.count(),
                      figures.takeover.count(), figures.longest_partial_gang.count());
  for (const std::string& failure : result.step_failures) {
    text += "step failed: " + failure + "\n";
  }
  text +=
      fmt::format("seed {}, {} steps, {} broken", result.seed, result.steps_done, result.broken());
  return text;
}

}  // namespace papayalift
