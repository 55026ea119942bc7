/// What "GET /control/record" asks for.
#pragma once

#include <cstddef>
#include <string>

#include "libraries/http/http_message.h"

namespace papayalift {

/// The index that the query names under `key`; 0 where there is none.
std::size_t SinceOf(const HttpRequest& request, const std::string& key = "since");

}  // namespace papayalift
