/// A call as its caller sees it: request and result.
#pragma once

#include <string>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/base/verdict.h"
#include "libraries/model/job_spec.h"

namespace papayalift {

struct CallRequest {
  std::string request_id;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  Milliseconds limit{5'000};
  std::string payload;
};

struct CallResult {
  std::string request_id;
  Verdict verdict = Verdict::kNotRun;
  std::string result;
  /// Why there is no result; empty if the call ran.
  std::string reason;
};

}  // namespace papayalift
