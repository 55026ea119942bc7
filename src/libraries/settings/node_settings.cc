#include "libraries/settings/node_settings.h"

#include <fmt/format.h>

#include "libraries/base/duration_text.h"
#include "libraries/base/try.h"
#include "libraries/settings/config_document.h"

namespace papayalift {

namespace {

constexpr Milliseconds kMinTimeout{50};
constexpr Milliseconds kMaxTimeout{60'000};
/// Bound on the time after which a zone that was taken out gets no new work, which is the view
/// limit plus the reservation lease.
constexpr Milliseconds kMaxZoneOutDelay{3'000};
constexpr int kMaxConnections = 10'000;
constexpr int kMaxStartThreads = 64;
constexpr int kMinMegabytes = 32;
constexpr int kMaxMegabytes = 1'048'576;
constexpr int kMaxBodyRate = 1'000'000;

void ReadNode(ConfigSection& node, NodeSettings& settings) {
  settings.id = NodeId(node.RequiredText("name"));
  settings.zone = ZoneId(node.RequiredText("zone"));
  settings.api_address = node.RequiredAddress("api_address");
  settings.peer_address = node.RequiredAddress("peer_address");
  settings.max_connections =
      static_cast<int>(node.Number("connections", settings.max_connections, 1, kMaxConnections));
  settings.start_threads =
      static_cast<int>(node.Number("start_threads", settings.start_threads, 1, kMaxStartThreads));
  settings.memory_megabytes = static_cast<int>(
      node.Number("memory_mb", settings.memory_megabytes, kMinMegabytes, kMaxMegabytes));
  settings.min_body_rate =
      static_cast<int>(node.Number("min_body_rate", settings.min_body_rate, 1, kMaxBodyRate));
  settings.call_limit = node.Duration("call_limit", settings.call_limit, kMinTimeout, kMaxTimeout);
  settings.stop_limit = node.Duration("stop_limit", settings.stop_limit, kMinTimeout, kMaxTimeout);
}

void ReadPlatform(ConfigSection& platform, NodeSettings& settings) {
  settings.store_address = platform.RequiredAddress("store_address");
  settings.membership_address = platform.Address("membership_address", "");
  settings.store_limit =
      platform.Duration("store_limit", settings.store_limit, kMinTimeout, kMaxTimeout);
}

void ReadLeases(ConfigSection& leases, NodeSettings& settings) {
  settings.view_limit =
      leases.Duration("view_limit", settings.view_limit, kMinTimeout, kMaxZoneOutDelay);
  settings.reservation_lease = leases.Duration("reservation_lease", settings.reservation_lease,
                                               kMinTimeout, kMaxZoneOutDelay);
  settings.run_lease = leases.Duration("run_lease", settings.run_lease, kMinTimeout, kMaxTimeout);
  settings.renewal_interval =
      leases.Duration("renewal_interval", settings.renewal_interval, kMinTimeout, kMaxTimeout);
  settings.worker_limit =
      leases.Duration("worker_limit", settings.worker_limit, kMinTimeout, kMaxTimeout);
  if (settings.view_limit + settings.reservation_lease > kMaxZoneOutDelay) {
    leases.Report("view_limit",
                  fmt::format("contradicts reservation_lease: together they are {}, "
                              "and must be at most {}",
                              DurationText(settings.view_limit + settings.reservation_lease),
                              DurationText(kMaxZoneOutDelay)));
  }
  constexpr int kMinRenewalsPerLease = 3;
  if (settings.renewal_interval * kMinRenewalsPerLease > settings.run_lease) {
    leases.Report("renewal_interval",
                  fmt::format("contradicts run_lease: it must be at most a third of {}",
                              DurationText(settings.run_lease)));
  }
}

}  // namespace

absl::StatusOr<NodeSettings> ParseNodeSettings(const std::string& text, const std::string& file) {
  ConfigDocument document = TRY(ConfigDocument::Parse(text, file));
  NodeSettings settings;
  ConfigSection root = document.root();
  ConfigSection node = root.Section("node");
  ConfigSection platform = root.Section("platform");
  ConfigSection leases = root.Section("leases");
  ReadNode(node, settings);
  ReadPlatform(platform, settings);
  ReadLeases(leases, settings);
  node.ReportUnknownKeys();
  platform.ReportUnknownKeys();
  leases.ReportUnknownKeys();
  root.ReportUnknownKeys();
  TRY(document.status());
  return settings;
}

}  // namespace papayalift
