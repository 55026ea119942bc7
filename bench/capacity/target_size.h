/// The sizes that the system is designed for.
#pragma once

namespace papayalift {

struct TargetSize {
  int workers = 720;
  int accelerators = 1'400;
  int jobs_per_day = 970;
  int tasks = 5'800;
  int workspaces = 32;
  int zones = 11;
  int configuration_changes_per_day = 820;
  int entry_nodes = 21;
  /// How long the records of ended jobs stay.
  int days_kept = 7;
  int audit_days_kept = 30;
  int bundles_kept = 50;

  /// The most gangs that run at once when each task holds an accelerator.
  int gangs() const { return accelerators / 4; }
};

/// What one node may spend on control.
struct NodeLimits {
  double core_share = 0.012;
  double memory_bytes = 128.0 * 1024 * 1024;
  double bytes_per_second = 15.0 * 1024;
};

/// What the key-value service can take in all.
struct StoreLimits {
  double writes_per_second = 300;
  double reads_per_second = 2'000;
};

inline constexpr double kSecondsPerDay = 86'400;

}  // namespace papayalift
