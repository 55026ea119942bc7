#include "libraries/model/bundle_record.h"

#include "libraries/base/hash.h"

namespace papayalift {

std::string BundleDigest(const std::string& text) { return Hash128Hex(text); }

}  // namespace papayalift
