/// Completion time, slowdown and waiting time by group of jobs.
#pragma once

#include <vector>

#include "libraries/lab/lab_state.h"
#include "libraries/lab/run_report.h"

namespace papayalift {

JobGroupReport ReportAllJobs(const LabState& state);
std::vector<JobGroupReport> ReportByClass(const LabState& state);
std::vector<JobGroupReport> ReportBySize(const LabState& state);

}  // namespace papayalift
