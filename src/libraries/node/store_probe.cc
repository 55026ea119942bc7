#include "libraries/node/store_probe.h"

#include "libraries/model/keys.h"

namespace papayalift {

namespace {

constexpr Milliseconds kProbeInterval{1'000};

}  // namespace

StoreProbe::StoreProbe(const Clock& clock, KeyValueService& store, StoreProgress& progress)
    : m_clock(clock), m_store(store), m_progress(progress) {}

void StoreProbe::Start() {
  m_thread.Start([this] { Run(); });
}

void StoreProbe::Stop() {
  m_stop.Raise();
  m_thread.Join();
}

void StoreProbe::Probe() {
  const Milliseconds sent_at = m_clock.Now();
  const absl::StatusOr<RangeAnswer> answer = m_store.Range(SingleKey(keys::kZones));
  if (answer.ok()) {
    m_progress.RecordAnswer(sent_at, answer->revision);
  } else {
    m_progress.RecordFailure();
  }
}

void StoreProbe::Run() {
  while (!m_stop.raised()) {
    Probe();
    m_stop.WaitFor(kProbeInterval);
  }
}

}  // namespace papayalift
