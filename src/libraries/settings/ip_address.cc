#include "libraries/settings/ip_address.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace papayalift {

absl::StatusOr<IpAddress> ParseIpAddress(const std::string& text) {
  const absl::Status invalid = absl::InvalidArgumentError(fmt::format(
      "'{}' is not an address; write an IPv4 address and a port, \"127.0.0.1:8080\"", text));
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return invalid;
  }
  IpAddress address;
  address.host = text.substr(0, colon);
  in_addr number{};
  if (inet_pton(AF_INET, address.host.c_str(), &number) != 1) {
    return invalid;
  }
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed = std::from_chars(text.data() + colon + 1, end, address.port);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return invalid;
  }
  return address;
}

}  // namespace papayalift
