#include "libraries/store/base64.h"

#include <sodium.h>

namespace papayalift {

std::string EncodeBase64(std::string_view bytes) {
  std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();  // The terminating zero that libsodium writes.
  return text;
}

absl::StatusOr<std::string> DecodeBase64(std::string_view text) {
  std::string bytes(text.size(), '\0');
  std::size_t length = 0;
  const int failed =
      sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                        text.size(), nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL);
  if (failed != 0) {
    return absl::InvalidArgumentError("the text is not valid base64");
  }
  bytes.resize(length);
  return bytes;
}

}  // namespace papayalift
