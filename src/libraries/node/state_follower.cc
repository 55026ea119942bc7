#include "libraries/node/state_follower.h"

#include <algorithm>

#include "libraries/log/log_event.h"
#include "libraries/model/keys.h"

namespace papayalift {

namespace {

constexpr Milliseconds kInitialBackoff{100};
constexpr Milliseconds kMaxBackoff{2'000};

}  // namespace

StateFollower::StateFollower(KeyValueService& store, FleetState& state, ViewGuard& view,
                             Metrics& metrics)
    : m_store(store), m_state(state), m_view(view), m_metrics(metrics), m_loader(store, state) {}

void StateFollower::Start() {
  m_thread.Start([this] { Run(); });
}

void StateFollower::Stop() {
  m_stop.Raise();
  m_thread.Join();
}

void StateFollower::Run() {
  Milliseconds backoff = kInitialBackoff;
  while (!m_stop.raised()) {
    const Revision before = m_next;
    Follow();
    backoff = m_next > before ? kInitialBackoff : std::min(kMaxBackoff, backoff * 2);
    m_stop.WaitFor(backoff);
  }
}

void StateFollower::Follow() {
  const KeyRange everything = KeysWithPrefix(keys::kRoot);
  if (m_next == Revision(0)) {
    const absl::StatusOr<RangeAnswer> answer = m_store.Range(everything);
    if (!answer.ok()) {
      return;
    }
    m_state.Reset(*answer);
    m_next = answer->revision.Next();
    AfterChange();
  }
  const absl::Status ended = m_store.Watch(everything, m_next, [this](const WatchBatch& batch) {
    m_state.Apply(batch);
    m_next = std::max(m_next, batch.revision.Next());
    AfterChange();
    return !m_stop.raised();
  });
  if (ended.code() == absl::StatusCode::kOutOfRange) {
    m_next = Revision(0);
  }
  if (!ended.ok()) {
    m_metrics.Increment("papayalift_watch_breaks_total");
    LogEvent(LogLevel::kWarning, "state_follower", "the watch ended")
        .Reason(std::string(ended.message()))
        .Write();
  }
}

void StateFollower::AfterChange() {
  m_loader.LoadRolledBundle();
  m_view.UpdateZones(m_state.View()->zones);
}

}  // namespace papayalift
