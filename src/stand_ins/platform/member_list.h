/// A stand-in for the platform's membership list, with contents set by tests.
#pragma once

#include <mutex>
#include <string>

#include "libraries/http/http_message.h"

namespace papayalift {

class MemberList {
 public:
  /// Returns the list that was set last.
  HttpResponse Show(const HttpRequest& request) const;
  /// Replaces the list with the body unchecked, so that tests can set an empty or malformed list.
  HttpResponse Set(const HttpRequest& request);

 private:
  mutable std::mutex m_mutex;
  std::string m_body = "[]";
};

}  // namespace papayalift
