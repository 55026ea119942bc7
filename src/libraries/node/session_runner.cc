#include "libraries/node/session_runner.h"

#include <algorithm>
#include <utility>

namespace papayalift {

namespace {

constexpr Milliseconds kMaxIdleWait{50};

}  // namespace

void SessionRunner::Start(int threads) {
  for (int count = 0; count < threads; ++count) {
    m_threads.push_back(std::make_unique<JoiningThread>());
    m_threads.back()->Start([this] { Run(); });
  }
}

void SessionRunner::Stop() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
  }
  for (const std::unique_ptr<JoiningThread>& thread : m_threads) {
    thread->Join();
  }
  m_threads.clear();
}

AddResult SessionRunner::Add(std::shared_ptr<GangSession> session) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_jobs.contains(session->job())) {
    return AddResult::kBusy;
  }
  if (m_jobs.size() >= m_capacity) {
    return AddResult::kFull;
  }
  m_jobs.insert(session->job());
  m_entries.push_back(Entry{m_clock.Now(), std::move(session)});
  m_changed.notify_one();
  return AddResult::kAdded;
}

bool SessionRunner::IsBusy(const JobId& job) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_jobs.contains(job);
}

std::size_t SessionRunner::size() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_jobs.size();
}

void SessionRunner::Run() {
  while (const std::shared_ptr<GangSession> session = TakeDue()) {
    PutBack(session, session->Step());
  }
}

bool SessionRunner::RunDueStep() {
  std::shared_ptr<GangSession> session;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    session = TryTakeDueLocked();
  }
  if (session == nullptr) {
    return false;
  }
  PutBack(session, session->Step());
  return true;
}

std::shared_ptr<GangSession> SessionRunner::TakeDue() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopping) {
    if (std::shared_ptr<GangSession> session = TryTakeDueLocked()) {
      return session;
    }
    if (m_entries.empty()) {
      m_changed.wait(lock);
    } else {
      m_changed.wait_for(lock, kMaxIdleWait);
    }
  }
  return nullptr;
}

std::shared_ptr<GangSession> SessionRunner::TryTakeDueLocked() {
  const Milliseconds now = m_clock.Now();
  const auto due = std::find_if(m_entries.begin(), m_entries.end(),
                                [now](const Entry& entry) { return entry.due <= now; });
  if (due == m_entries.end()) {
    return nullptr;
  }
  std::shared_ptr<GangSession> session = std::move(due->session);
  m_entries.erase(due);
  return session;
}

void SessionRunner::PutBack(std::shared_ptr<GangSession> session, const StepResult& result) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (result.kind == StepKind::kDone) {
    m_jobs.erase(session->job());
    return;
  }
  m_entries.push_back(Entry{m_clock.Now() + result.delay, std::move(session)});
  m_changed.notify_one();
}

}  // namespace papayalift
