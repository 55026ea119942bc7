/// What one run of the fleet lab comes to.
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
  /// Steps that could not be carried out.
  std::vector<std::string> step_failures;
  /// Counters a second of each node that was there from start to end.
  std::map<std::string, std::map<std::string, double>> node_rates;
  /// Calls on the key-value service a second and a node, counted there.
  double store_calls_per_node_second = 0;

  std::int64_t broken() const;
};

}  // namespace papayalift
