/// A record with the revision of its latest write, which transactions compare.
#pragma once

#include "libraries/base/units.h"

namespace papayalift {

template <typename T>
struct Versioned {
  T value;
  Revision modified;
};

}  // namespace papayalift
