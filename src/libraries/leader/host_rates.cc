#include "libraries/leader/host_rates.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "libraries/base/hash.h"

namespace papayalift {

namespace {

/// Minions report several times a second, so that the time of a report is exact to a tenth of this.
constexpr Milliseconds kMinMeasurement{600};
/// Runs that have shown too little progress for longer are measured anew.
constexpr Milliseconds kMaxMeasurement{30'000};
/// Percentages are whole numbers: with fewer of them a rate is off by more than an eighth.
constexpr int kMinMedianPercents = 8;
/// Progress that a run may have made without showing it.
constexpr double kHiddenPercents = 0.5;
/// The members of a gang whose percentages are within this of one common rate make progress
/// together, which says nothing of each.
constexpr double kMaxLockstepDifference = 2;
/// Later measurements of a run show the same work again.
constexpr double kWeightOfLaterRates = 0.2;
constexpr int kFullPercent = 100;
constexpr double kMillisecondsPerSecond = 1'000;

struct MeasuredRun {
  TrackedRun* run = nullptr;
  const TrackedMinion* minion = nullptr;
};

using MeasuredRuns = std::vector<MeasuredRun>;

int PercentsOf(const MeasuredRun& measured) {
  return measured.run->percent - measured.run->rate_window->percent;
}

void BeginWindow(TrackedRun& run) { run.rate_window = RateWindow{run.percent, run.reported_at}; }

bool IsMeasurable(const TrackedRun& run) {
  return run.state == TrackedRunState::kRunning && !run.stop_wanted &&
         run.initial_percent.has_value() && run.percent < kFullPercent;
}

std::map<std::pair<JobId, int>, MeasuredRuns> GroupRuns(LeaderState& state) {
  std::map<std::pair<JobId, int>, MeasuredRuns> groups;
  for (auto& [id, minion] : state.minions) {
    for (auto& [name, run] : minion.runs) {
      if (!minion.entry.has_value() || !IsMeasurable(run)) {
        continue;
      }
      if (!run.rate_window.has_value()) {
        BeginWindow(run);
      } else if (run.reported_at - run.rate_window->began_at >= kMinMeasurement) {
        groups[{name.job, name.step}].push_back(MeasuredRun{&run, &minion});
      }
    }
  }
  return groups;
}

double SecondsOf(const MeasuredRun& measured) {
  const Milliseconds time = measured.run->reported_at - measured.run->rate_window->began_at;
  return static_cast<double>(time.count()) / kMillisecondsPerSecond;
}

/// Whether all runs have the rate of the middle one, as far as whole percentages show it.
bool HaveOneRate(const MeasuredRuns& runs) {
  const MeasuredRun& middle = runs[runs.size() / 2];
  const double rate = PercentsOf(middle) / SecondsOf(middle);
  return std::all_of(runs.begin(), runs.end(), [rate](const MeasuredRun& run) {
    return std::abs(PercentsOf(run) - rate * SecondsOf(run)) <= kMaxLockstepDifference;
  });
}

/// Tasks away from the rack of their data are slower, whatever their machine.
void DropRunsAwayFromData(MeasuredRuns& runs, const StepSpec& step) {
  if (!step.data_rack.empty()) {
    std::erase_if(runs, [&step](const MeasuredRun& run) {
      return run.minion->entry->rack != step.data_rack;
    });
  }
}

bool SortAndCheckComparable(MeasuredRuns& runs, WorkStepKind kind) {
  if (runs.size() < 2) {
    return false;
  }
  std::sort(runs.begin(), runs.end(), [](const MeasuredRun& left, const MeasuredRun& right) {
    return PercentsOf(left) < PercentsOf(right);
  });
  return PercentsOf(runs[runs.size() / 2]) >= kMinMedianPercents &&
         (kind != WorkStepKind::kGang || !HaveOneRate(runs));
}

HostRate RateOf(const MeasuredRun& measured) {
  const TrackedRun& run = *measured.run;
  HostRate rate;
  rate.host = measured.minion->host;
  rate.service = measured.minion->entry->service;
  rate.run = Hash64(FormatTaskName(run.task) + ' ' + std::to_string(run.attempt.value()));
  rate.rate = std::max<double>(PercentsOf(measured), kHiddenPercents) / SecondsOf(measured);
  rate.weight = run.rates_measured == 0 ? 1 : kWeightOfLaterRates;
  return rate;
}

}  // namespace

std::vector<std::vector<HostRate>> MeasureHostRates(LeaderState& state, Milliseconds now) {
  std::vector<std::vector<HostRate>> measured;
  for (auto& [key, runs] : GroupRuns(state)) {
    const StepSpec* const step = state.FindStep(runs.front().run->task);
    if (step != nullptr) {
      DropRunsAwayFromData(runs, *step);
    }
    if (step != nullptr && SortAndCheckComparable(runs, step->kind)) {
      std::vector<HostRate>& group = measured.emplace_back();
      for (const MeasuredRun& run : runs) {
        group.push_back(RateOf(run));
        BeginWindow(*run.run);
        ++run.run->rates_measured;
      }
      continue;
    }
    for (const MeasuredRun& run : runs) {
      if (now - run.run->rate_window->began_at > kMaxMeasurement) {
        BeginWindow(*run.run);
      }
    }
  }
  return measured;
}

}  // namespace papayalift
