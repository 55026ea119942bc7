/// Metrics of a run that policies are compared by.
#pragma once

#include <string>
#include <vector>

#include "libraries/lab/run_report.h"

namespace papayalift {

struct Metric {
  std::string name;
  double (*value)(const RunReport& report);
};

const std::vector<Metric>& Metrics();

}  // namespace papayalift
