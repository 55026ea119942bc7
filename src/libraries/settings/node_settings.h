/// The settings of one entry node.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

struct NodeSettings {
  NodeId id;
  ZoneId zone;
  /// "IP:port" of the HTTP API.
  std::string api_address;
  /// "IP:port" where peers connect.
  std::string peer_address;
  /// "IP:port" of the key-value service's gateway.
  std::string store_address;
  /// "IP:port" of the membership list; empty for none.
  std::string membership_address;
  Milliseconds store_limit{1'000};
  Milliseconds worker_limit{1'000};
  /// Maximum age of the confirmed view of zones and bundle when work starts under it.
  Milliseconds view_limit{1'500};
  /// How long a worker keeps the reservation of a prepared gang that is not started.
  Milliseconds reservation_lease{1'500};
  /// How long a worker runs a gang without a renewal.
  Milliseconds run_lease{15'000};
  Milliseconds renewal_interval{3'000};
  Milliseconds call_limit{10'000};
  Milliseconds stop_limit{20'000};
  int max_connections = 256;
  int start_threads = 4;
  /// Memory of the machine, in megabytes; bounds connections and unfinished request bodies.
  int memory_megabytes = 120;
  /// A request body that arrives more slowly is ended, in bytes a second.
  int min_body_rate = 500;
};

/// Returns kInvalidArgument with all problems, one per line.
absl::StatusOr<NodeSettings> ParseNodeSettings(const std::string& text, const std::string& file);

}  // namespace papayalift
