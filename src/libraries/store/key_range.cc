#include "libraries/store/key_range.h"

namespace papayalift {

bool KeyRange::Contains(const std::string& key) const {
  if (end.empty()) {
    return key == first;
  }
  return key >= first && key < end;
}

KeyRange SingleKey(const std::string& key) { return KeyRange{key, ""}; }

KeyRange KeysWithPrefix(const std::string& prefix) {
  // NOTE: all prefixes end in a printable character, so incrementing the last byte can't overflow.
  std::string end = prefix;
  ++end.back();
  return KeyRange{prefix, end};
}

}  // namespace papayalift
