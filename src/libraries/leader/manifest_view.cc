#include "libraries/leader/manifest_view.h"

#include <utility>

#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// After this many consecutive failed requests the store counts as unreachable, and callers no
/// longer wait for the next request.
constexpr int kFailuresUntilUnreachable = 2;
constexpr Milliseconds kProbeInterval{200};
/// A failure older than this is not evidence that the store is unreachable now. Must exceed the
/// time of one request and the interval after it.
constexpr Milliseconds kFailureMaxAge{1'500};
/// Probing stops when no caller has asked for a confirmation for this long.
constexpr Milliseconds kProbeIdleLimit{2'000};

}  // namespace

ManifestView::ManifestView(Timers& timers, StorePort& store, const FleetSchema& schema)
    : m_timers(timers), m_store(store), m_schema(schema) {}

void ManifestView::Confirm(Milliseconds limit, std::function<void(Freshness)> callback) {
  if (m_manifest != nullptr && age() <= limit) {
    callback(Freshness::kConfirmed);
    return;
  }
  m_last_requested_at = m_timers.clock().Now();
  if (IsUnreachable()) {
    RequestIfIdle();
    callback(Freshness::kUnknown);
    return;
  }
  m_pending_callbacks.push_back(std::move(callback));
  RequestIfIdle();
}

bool ManifestView::IsUnreachable() const {
  return m_failures >= kFailuresUntilUnreachable &&
         m_timers.clock().Now() - m_failed_at < kFailureMaxAge;
}

void ManifestView::RequestIfIdle() {
  if (!m_is_request_in_flight) {
    m_is_request_in_flight = true;
    SendRequest();
  }
}

void ManifestView::ScheduleProbe() {
  m_timers.After(kProbeInterval, [this] {
    if (m_failures > 0 && m_timers.clock().Now() - m_last_requested_at < kProbeIdleLimit) {
      RequestIfIdle();
    }
  });
}

void ManifestView::SendRequest() {
  const Milliseconds sent_at = m_timers.clock().Now();
  if (m_manifest == nullptr) {
    m_store.Read(m_schema.ManifestKey(),
                 [this, sent_at](const ReadAnswer& answer) { OnRead(sent_at, answer); });
    return;
  }
  Transaction comparison;
  comparison.Expect(m_schema.ManifestKey(), m_revision);
  m_store.Commit(comparison,
                 [this, sent_at](const CommitAnswer& answer) { OnCompared(sent_at, answer); });
}

void ManifestView::OnRead(Milliseconds sent_at, const ReadAnswer& answer) {
  if (answer.result != ReadResult::kOk || answer.items.empty()) {
    LogEvent(LogLevel::kWarning, "manifest", "no manifest could be read")
        .Reason(answer.result == ReadResult::kOk ? "the store has none" : answer.error)
        .Write();
    FinishRequest(Freshness::kUnknown);
    return;
  }
  Adopt(answer.items.front());
  RecordConfirmation(sent_at);
  FinishRequest(m_manifest == nullptr ? Freshness::kUnknown : Freshness::kConfirmed);
}

void ManifestView::OnCompared(Milliseconds sent_at, const CommitAnswer& answer) {
  if (answer.result == TransactionResult::kApplied) {
    RecordConfirmation(sent_at);
    FinishRequest(Freshness::kConfirmed);
    return;
  }
  if (answer.result == TransactionResult::kConflict && !answer.items.empty()) {
    Adopt(answer.items.front());
    RecordConfirmation(sent_at);
    FinishRequest(Freshness::kConfirmed);
    return;
  }
  LogEvent(LogLevel::kWarning, "manifest", "the manifest could not be confirmed")
      .Reason(answer.error)
      .Field("age_ms", age().count())
      .Write();
  FinishRequest(Freshness::kUnknown);
}

void ManifestView::Adopt(const StoreItem& item) {
  if (item.revision <= m_revision) {
    return;
  }
  absl::StatusOr<FleetManifest> decoded = m_schema.DecodeManifest(item.value);
  if (!decoded.ok()) {
    LogEvent(LogLevel::kError, "manifest",
             "a manifest can't be decoded; the previous one stays in force")
        .Reason(std::string(decoded.status().message()))
        .Field("revision", item.revision.value())
        .Write();
    return;
  }
  m_revision = item.revision;
  if (m_manifest != nullptr && decoded->version < m_manifest->version) {
    LogEvent(LogLevel::kError, "manifest", "a manifest with a lower version is ignored")
        .Field("version", decoded->version.value())
        .Field("in_force", m_manifest->version.value())
        .Write();
    return;
  }
  m_manifest = std::make_shared<const FleetManifest>(*std::move(decoded));
  LogEvent(LogLevel::kInfo, "manifest", "in force")
      .Field("version", m_manifest->version.value())
      .Field("revision", m_revision.value())
      .Field("queues", static_cast<std::int64_t>(m_manifest->queues.size()))
      .Write();
}

void ManifestView::RecordConfirmation(Milliseconds sent_at) {
  m_failures = 0;
  m_confirmed_at = std::max(m_confirmed_at, sent_at);
}

void ManifestView::FinishRequest(Freshness freshness) {
  m_is_request_in_flight = false;
  // Until the first manifest is read, the owner of the view repeats the request itself.
  if (freshness == Freshness::kUnknown && m_manifest != nullptr) {
    ++m_failures;
    m_failed_at = m_timers.clock().Now();
    ScheduleProbe();
  }
  const std::vector<std::function<void(Freshness)>> callbacks =
      std::exchange(m_pending_callbacks, {});
  for (const std::function<void(Freshness)>& callback : callbacks) {
    callback(freshness);
  }
}

}  // namespace papayalift
