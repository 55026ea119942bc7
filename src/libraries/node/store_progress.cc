#include "libraries/node/store_progress.h"

#include <algorithm>

namespace papayalift {

namespace {

/// Beyond this, the oldest sample is dropped, since a newer one confirms more.
constexpr std::size_t kMaxSamples = 32;

}  // namespace

void StoreProgress::RecordAnswer(Milliseconds sent_at, Revision revision) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_contact = StoreContact::kReachable;
  m_answered_at = m_clock.Now();
  if (m_samples.size() == kMaxSamples) {
    m_samples.pop_front();
  }
  m_samples.push_back(Sample{sent_at, revision});
}

void StoreProgress::RecordFailure() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_contact = StoreContact::kUnreachable;
}

std::optional<Milliseconds> StoreProgress::ConfirmedAt(Revision followed_revision) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::erase_if(m_samples, [this, followed_revision](const Sample& sample) {
    if (sample.revision > followed_revision) {
      return false;
    }
    m_confirmed_at = std::max(m_confirmed_at.value_or(sample.sent_at), sample.sent_at);
    return true;
  });
  return m_confirmed_at;
}

bool StoreProgress::ConfirmedSince(Milliseconds moment) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_confirmed_at && *m_confirmed_at > moment;
}

StoreContact StoreProgress::contact() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_contact;
}

Milliseconds StoreProgress::silence() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_clock.Now() - m_answered_at.value_or(m_started_at);
}

}  // namespace papayalift
