/// One version of the bundle, as stored in the key-value service.
#pragma once

#include <string>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

enum class SignOff { kMissing, kGiven };

struct BundleRecord {
  BundleVersion version;
  /// Digest of `text`; a sign-off applies to exactly this digest.
  std::string digest;
  std::string text;
  OperatorId submitted_by;
  SignOff sign_off = SignOff::kMissing;
  OperatorId signed_off_by;
  Milliseconds submitted_at{0};
};

/// The record under keys::kCurrentBundle.
struct CurrentBundle {
  BundleVersion version;
};

std::string BundleDigest(const std::string& text);

}  // namespace papayalift
