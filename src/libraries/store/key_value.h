/// One stored record.
#pragma once

#include <string>

#include "libraries/base/units.h"

namespace papayalift {

struct KeyValue {
  std::string key;
  std::string value;
  /// Revision of the latest write.
  Revision modified;
};

}  // namespace papayalift
