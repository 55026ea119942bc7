/// The assertion on what FleetInvariants found, with its message.
#pragma once

#include <criterion/criterion.h>

#include <string>

namespace papayalift {

inline void AssertNoViolation(const std::string& broken) {
  cr_assert(broken.empty(), "%s", broken.c_str());
}

}  // namespace papayalift
