/// Asserts that FleetInvariants found no violation, and prints the one that it found.
#pragma once

#include <criterion/criterion.h>

#include <string>

namespace papayalift {

inline void AssertNoViolation(const std::string& broken) {
  cr_assert(broken.empty(), "%s", broken.c_str());
}

}  // namespace papayalift
