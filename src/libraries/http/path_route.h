/// Dispatches a request to the member function that handles its path.
#pragma once

#include <array>

#include "libraries/http/http_message.h"

namespace papayalift {

template <typename Owner>
struct PathRoute {
  const char* path;
  HttpResponse (Owner::*handler)(const HttpRequest&);
};

/// Responds with kNotFound if no route has the request's path.
template <typename Owner, std::size_t kSize>
HttpResponse RouteByPath(Owner& owner, const std::array<PathRoute<Owner>, kSize>& routes,
                         const HttpRequest& request) {
  for (const PathRoute<Owner>& route : routes) {
    if (request.path == route.path) {
      return (owner.*route.handler)(request);
    }
  }
  HttpResponse response;
  response.status = HttpStatus::kNotFound;
  response.body = "no such path";
  return response;
}

}  // namespace papayalift
