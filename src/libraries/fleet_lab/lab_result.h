/// The result of one run of the fleet lab.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "libraries/fleet_lab/promise.h"
#include "libraries/fleet_lab/run_figures.h"

namespace papayalift {

struct LabResult {
  std::uint64_t seed = 0;
  Milliseconds lasted{0};
  std::vector<PromiseTally> promises;
  RunFigures figures;
  int steps_done = 0;
  /// Errors of the steps that failed.
  std::vector<std::string> step_failures;
  /// Counter increments per second of each node that ran from start to end.
  std::map<std::string, std::map<std::string, double>> node_rates;
  /// Calls to the key-value service per node and second, as counted by the service.
  double store_calls_per_node_second = 0;

  std::int64_t broken() const;
};

}  // namespace papayalift
