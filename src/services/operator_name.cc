#include "services/operator_name.h"

#include <cstdlib>

namespace papayalift {

std::string DefaultOperatorName() {
  const char* const user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "operator" : user;
}

}  // namespace papayalift
