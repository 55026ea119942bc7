/// Query parameters of "GET /control/record".
#pragma once

#include <cstddef>
#include <string>

#include "libraries/http/http_message.h"

namespace papayalift {

/// Returns the index in the query parameter `key`, or 0 if it is missing.
std::size_t SinceOf(const HttpRequest& request, const std::string& key = "since");

}  // namespace papayalift
