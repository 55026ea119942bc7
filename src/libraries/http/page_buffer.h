/// Growing byte buffer in memory pages of its own.
#pragma once

#include <cstddef>
#include <string_view>

namespace papayalift {

/// Unlike memory from the heap, its pages go back to the system as soon as it is released, and
/// pages that were never written occupy no memory.
class PageBuffer {
 public:
  PageBuffer() = default;
  ~PageBuffer() { Release(); }
  PageBuffer(const PageBuffer&) = delete;
  PageBuffer& operator=(const PageBuffer&) = delete;

  /// Bytes of resident memory that a buffer with `bytes` of content occupies.
  static std::size_t ResidentBytes(std::size_t bytes);

  /// Returns false, and changes nothing, if the system has no memory left.
  bool Append(std::string_view bytes);

  void Release();

  std::string_view view() const { return {m_pages, m_size}; }
  std::size_t size() const { return m_size; }

 private:
  bool Grow(std::size_t capacity);

  char* m_pages = nullptr;
  std::size_t m_size = 0;
  std::size_t m_capacity = 0;
};

}  // namespace papayalift
