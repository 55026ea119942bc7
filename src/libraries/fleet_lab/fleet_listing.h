/// The processes of a fleet and the addresses they listen on.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/fleet_lab/promise_checks.h"
#include "libraries/model/bundle.h"

namespace papayalift {

struct FleetNode {
  NodeId id;
  /// "IP:port" of its API.
  std::string address;
};

class FleetListing {
 public:
  /// Reads the directory written by "meta/fleet up".
  static absl::StatusOr<FleetListing> FromDirectory(const std::string& directory);
  /// Uses only `bundle` (TOML) and the nodes' addresses; processes cannot be signalled.
  static absl::StatusOr<FleetListing> FromNodes(const std::vector<std::string>& addresses,
                                                const std::string& bundle);

  const std::vector<FleetNode>& nodes() const { return m_nodes; }
  const std::string& bundle_text() const { return m_bundle_text; }
  const Bundle& bundle() const { return m_bundle; }

  /// "IP:port" of a stand-in by its process name; empty if unknown.
  std::string AddressOf(const std::string& name) const;
  ZoneOfTarget Zones() const;

  /// Process names that match `patterns`, in order; "worker-*" matches all workers.
  std::vector<std::string> Matching(const std::vector<std::string>& patterns) const;

  /// Process id, read from the file on each call; 0 if the process is not listed.
  int ProcessOf(const std::string& name) const;

  /// Sends a signal to a listed process. Returns kNotFound if it is not listed or has exited.
  absl::Status Signal(const std::string& name, int signal) const;

 private:
  absl::Status ReadBundle(const std::string& text);
  absl::Status ReadNodes();

  std::string m_directory;
  std::vector<FleetNode> m_nodes;
  std::string m_store_address;
  std::string m_bundle_text;
  Bundle m_bundle;
};

}  // namespace papayalift
