/// One entry node: everything that a `papayalift serve` process runs.
#pragma once

#include <memory>

#include "absl/status/statusor.h"
#include "libraries/settings/node_settings.h"

namespace papayalift {

enum class StopOutcome {
  /// Every request in flight was answered.
  kClean,
  /// The limit passed; some requests were cut.
  kForced,
};

class EntryNode {
 public:
  /// Listens at once; becomes healthy when the state has been read.
  static absl::StatusOr<std::unique_ptr<EntryNode>> Create(const NodeSettings& settings);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  std::uint16_t api_port() const;

  /// Withdraws, finishes what is in flight, hands over, and leaves, within the settings' limit.
  StopOutcome Stop();
  /// Makes a Stop() in progress give up what is left.
  void ForceStop();

 private:
  class Impl;
  explicit EntryNode(std::unique_ptr<Impl> parts);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace papayalift
