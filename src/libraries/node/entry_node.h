/// One entry node: everything that a `papayalift serve` process runs.
#pragma once

#include <memory>

#include "absl/status/statusor.h"
#include "libraries/settings/node_settings.h"

namespace papayalift {

enum class StopOutcome {
  /// Every request in flight was answered.
  kClean,
  /// The time limit passed or the stop was forced; some requests may have been cut.
  kForced,
};

class EntryNode {
 public:
  /// Listens at once; the health check succeeds once the state has been read.
  static absl::StatusOr<std::unique_ptr<EntryNode>> Create(const NodeSettings& settings);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  std::uint16_t api_port() const;

  /// Drains the API, finishes requests and sessions in flight, and deregisters the node, within the
  /// stop limit of the settings.
  StopOutcome Stop();
  /// Makes a Stop() in progress cut the requests that are left.
  void ForceStop();

 private:
  class Impl;
  explicit EntryNode(std::unique_ptr<Impl> parts);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace papayalift
