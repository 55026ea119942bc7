/// Runs gang sessions on a thread pool, with at most one session per job at a time.
#pragma once

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/joining_thread.h"
#include "libraries/node/gang_session.h"

namespace papayalift {

enum class AddResult {
  kAdded,
  /// Another session is working on the job.
  kBusy,
  /// The runner is at capacity; try again with the next pass.
  kFull,
};

class SessionRunner {
 public:
  SessionRunner(const Clock& clock, std::size_t capacity) : m_clock(clock), m_capacity(capacity) {}
  ~SessionRunner() { Stop(); }

  void Start(int threads);
  /// Ends the threads after the steps in progress. Drops sessions that are not done.
  void Stop();

  AddResult Add(std::shared_ptr<GangSession> session);
  /// Runs one step of a due session on the calling thread; false where none is due. For tests.
  bool RunDueStep();
  bool IsBusy(const JobId& job) const;
  std::size_t size() const;

 private:
  struct Entry {
    Milliseconds due;
    std::shared_ptr<GangSession> session;
  };

  void Run();
  /// Waits for a due session; null once stopping.
  std::shared_ptr<GangSession> TakeDue();
  std::shared_ptr<GangSession> TryTakeDueLocked();
  void PutBack(std::shared_ptr<GangSession> session, const StepResult& result);

  const Clock& m_clock;
  const std::size_t m_capacity;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<Entry> m_entries;
  std::set<JobId> m_jobs;
  bool m_stopping = false;
  std::vector<std::unique_ptr<JoiningThread>> m_threads;
};

}  // namespace papayalift
