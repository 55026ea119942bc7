/// Load and limits that the system is designed for.
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
  /// Retention of the records of ended jobs.
  int days_kept = 7;
  int audit_days_kept = 30;
  int bundles_kept = 50;

  /// Maximum number of concurrent gangs of four tasks with one accelerator each.
  int gangs() const { return accelerators / 4; }
};

/// Resource limits of the control software on one node.
struct NodeLimits {
  double core_share = 0.012;
  double memory_bytes = 128.0 * 1024 * 1024;
  double bytes_per_second = 15.0 * 1024;
};

/// Total capacity of the key-value service.
struct StoreLimits {
  double writes_per_second = 300;
  double reads_per_second = 2'000;
};

inline constexpr double kSecondsPerDay = 86'400;

}  // namespace papayalift
