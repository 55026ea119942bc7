#include "libraries/http/page_buffer.h"

#include <sys/mman.h>

#include <algorithm>

namespace papayalift {

namespace {

/// A multiple of the page size of x86-64 and of the usual one of arm64.
constexpr std::size_t kBlockBytes = 4UL * 1024;
constexpr std::size_t kFirstCapacityBytes = 64UL * 1024;

}  // namespace

std::size_t PageBuffer::ResidentBytes(std::size_t bytes) {
  return (bytes + kBlockBytes - 1) / kBlockBytes * kBlockBytes;
}

bool PageBuffer::Append(std::string_view bytes) {
  const std::size_t size = m_size + bytes.size();
  if (size > m_capacity && !Grow(std::max({kFirstCapacityBytes, 2 * m_capacity, size}))) {
    return false;
  }
  std::copy(bytes.begin(), bytes.end(), m_pages + m_size);
  m_size = size;
  return true;
}

void PageBuffer::Release() {
  if (m_pages != nullptr) {
    munmap(m_pages, m_capacity);
  }
  m_pages = nullptr;
  m_size = 0;
  m_capacity = 0;
}

bool PageBuffer::Grow(std::size_t capacity) {
  void* const pages = m_pages == nullptr ? mmap(nullptr, capacity, PROT_READ | PROT_WRITE,
                                                MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0)
                                         : mremap(m_pages, m_capacity, capacity, MREMAP_MAYMOVE);
  if (pages == MAP_FAILED) {
    return false;
  }
  m_pages = static_cast<char*>(pages);
  m_capacity = capacity;
  return true;
}

}  // namespace papayalift
