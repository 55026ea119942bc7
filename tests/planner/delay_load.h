/// Plays jobs of three classes on a fleet that is too small for them, with stops, on a virtual
/// clock. Every planning pass is PlanTasks(); there is no leader and no network.
#pragma once

#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "libraries/planner/delay_cost.h"
#include "libraries/planner/task_planner.h"

namespace papayalift {

enum class JobClass { kUrgent, kNormal, kBatch };

constexpr std::size_t kJobClasses = 3;

/// A job of one step.
struct LoadJob {
  JobClass job_class = JobClass::kBatch;
  int width = 1;
  std::int64_t accelerators = 1;
  /// Of each task.
  std::vector<Milliseconds> durations;
};

/// What the callers of one class got, and what their runs lost.
struct ClassFigures {
  int on_time = 0;
  int late = 0;
  int worthless = 0;
  int stopped_runs = 0;
  /// Accelerator-seconds of runs that were stopped or lost with their minion.
  double thrown_away = 0;
};

using LoadFigures = std::array<ClassFigures, kJobClasses>;

struct LoadSettings {
  DelayPolicy policy = DelayPolicy::kByCost;
  int minions = 36;
  /// Accelerators for which urgent jobs are guaranteed together.
  std::int64_t guaranteed = 60;
  /// Estimates are up to this many times too high or too low.
  double estimate_error = 1.3;
  std::uint32_t seed = 1;
};

class DelayLoad {
 public:
  explicit DelayLoad(const LoadSettings& settings)
      : m_settings(settings), m_random(settings.seed) {}

  Milliseconds now() const { return m_now; }
  /// A job of the usual size of its class.
  void SubmitUsual(JobClass job_class);
  void Submit(const LoadJob& job);
  /// Plans, then advances the clock by one interval.
  void Advance();
  /// Takes the last minions away with all that runs there; 0 brings all of them back.
  void RemoveMinions(int count);
  bool is_done() const;

  LoadFigures Figures() const;
  /// The longest time that all tasks of a job took to start since it was within its guarantee.
  Milliseconds longest_guaranteed_start() const { return m_longest_guaranteed_start; }
  /// The longest time that a job took to end, or has taken.
  Milliseconds LongestStay(JobClass job_class) const;

 private:
  enum class TaskState { kWaiting, kRunning, kStopping, kDone };

  struct Task {
    TaskState state = TaskState::kWaiting;
    std::size_t minion = 0;
    Milliseconds began_at{0};
    Milliseconds freed_at{0};
    int stops = 0;
  };

  struct Job {
    LoadJob job;
    Milliseconds submitted_at{0};
    Milliseconds estimate{0};
    std::vector<Task> tasks;
    bool is_guaranteed = false;
    /// When it was first within its guarantee, or submitted.
    Milliseconds guaranteed_since{0};
    bool has_begun = false;
    std::optional<Milliseconds> ended_at;
  };

  PlanSnapshot Snapshot() const;
  PendingStep PendingOf(std::size_t number) const;
  void AddRuns(std::size_t number, PlanSnapshot& snapshot) const;
  void AddVictim(std::size_t number, int index, PlanSnapshot& snapshot) const;
  PlanRun RunOf(const Job& job, int index) const;
  Milliseconds RemainingOf(const Job& job, int index) const;
  bool ShowsEnd(const Job& job, int index) const;
  /// By its objective, if its tasks take as long as `length`: callers go by what they take, the
  /// planner by the estimate.
  Milliseconds DueAt(const Job& job, Milliseconds length) const;
  Milliseconds LengthOf(const Job& job) const;
  void MarkGuaranteed();
  void EndTasks();
  void StopTask(Job& job, Task& task);
  void NoteBegin(Job& job);

  const LoadSettings m_settings;
  std::mt19937 m_random;
  Milliseconds m_now{0};
  int m_removed = 0;
  std::vector<Job> m_jobs;
  LoadFigures m_losses{};
  Milliseconds m_longest_guaranteed_start{0};
};

}  // namespace papayalift
