/// Unit types shared by all libraries. Durations are std::chrono types.
#pragma once

#include <chrono>

#include "libraries/base/strong_number.h"

namespace papayalift {

using Milliseconds = std::chrono::milliseconds;

using AcceleratorCount = StrongNumber<struct AcceleratorCountTag, int>;
using TaskCount = StrongNumber<struct TaskCountTag, int>;
/// Incremented with every bundle that is submitted.
using BundleVersion = StrongNumber<struct BundleVersionTag>;
/// A revision of the key-value service.
using Revision = StrongNumber<struct RevisionTag>;
/// Number of an attempt of one job, from 1.
using AttemptNumber = StrongNumber<struct AttemptNumberTag, int>;
/// Incremented with every change of the zone table.
using ZoneEpoch = StrongNumber<struct ZoneEpochTag>;

}  // namespace papayalift
