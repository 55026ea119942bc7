/// Client of the entry nodes' public HTTP API for callers and operators.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/fleet_lab/fleet_listing.h"
#include "libraries/fleet_lab/observations.h"
#include "libraries/http/http_client.h"
#include "libraries/model/bundle_record.h"

namespace papayalift {

/// An operator's change request to one node.
struct OperatorChange {
  FleetNode node;
  std::string path;
  /// JSON
  std::string body;
};

/// Thread-safe.
class FleetApi {
 public:
  explicit FleetApi(std::shared_ptr<HttpClient> client) : m_client(std::move(client)) {}

  /// Sends the call and stores its outcome in `seen`.
  void Call(const FleetNode& node, const std::string& service, const CallRequest& request,
            CallObservation& seen);

  /// Submits `seen.spec` and stores the outcome in `seen`.
  void Submit(const FleetNode& node, JobObservation& seen);

  std::optional<JobRecord> Show(const FleetNode& node, const JobId& job);
  /// Returns all jobs that the node lists.
  std::map<JobId, JobRecord> List(const FleetNode& node);
  void CancelAll(const std::vector<FleetNode>& nodes, const std::vector<JobId>& jobs);

  absl::StatusOr<BundleRecord> SubmitBundle(const FleetNode& node, const std::string& operator_name,
                                            const std::string& text);
  absl::Status SignOff(const FleetNode& node, const std::string& operator_name,
                       const BundleRecord& record);
  absl::StatusOr<BundleVersion> CurrentBundle(const FleetNode& node);
  absl::StatusOr<BundleRecord> ReadBundle(const FleetNode& node, BundleVersion version);
  /// Returns the zones that are out according to the key-value service.
  absl::StatusOr<std::vector<ZoneId>> ZonesOut(const FleetNode& node);

  static OperatorChange RollOf(const FleetNode& node, const std::string& operator_name,
                               BundleVersion version, BundleVersion seen);
  static OperatorChange ZoneChangeOf(const FleetNode& node, const std::string& operator_name,
                                     const ZoneId& zone, const std::string& state);

  /// Sends all changes concurrently. Each element is true if that change was accepted.
  std::vector<bool> Change(const std::vector<OperatorChange>& changes);

  /// Returns the counters of a node's /metrics whose names contain one of `words`.
  std::map<std::string, double> Counters(const FleetNode& node,
                                         const std::vector<std::string>& words);

 private:
  HttpOutcome Get(const FleetNode& node, const std::string& path);
  HttpOutcome Post(const FleetNode& node, const std::string& path, std::string body,
                   Milliseconds limit);

  const std::shared_ptr<HttpClient> m_client;
};

}  // namespace papayalift
