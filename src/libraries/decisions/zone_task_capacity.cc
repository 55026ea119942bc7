#include "libraries/decisions/zone_task_capacity.h"

#include <bit>

#include "libraries/decisions/run_lengths.h"

namespace papayalift {

namespace {

/// Index of the smallest power of two that holds a task of the shape.
std::size_t SizeClassOf(const Shape& shape) {
  const unsigned int size = static_cast<unsigned int>(shape.accelerators_per_task.value());
  return static_cast<std::size_t>(std::bit_width(size - 1));
}

}  // namespace

ZoneTaskCapacity ZoneTaskCapacity::OfZone(const CapacityMap& capacity, const ZoneRange& zone) {
  ZoneTaskCapacity total;
  for (std::size_t position = zone.workers.begin; position < zone.workers.end; ++position) {
    VisitRunLengths(capacity.workers()[position].free, [&total](int length) {
      for (std::size_t index = 0; index < kSizeCount; ++index) {
        total.m_slots[index] += length >> index;
      }
    });
  }
  return total;
}

bool ZoneTaskCapacity::Fits(const Shape& shape) const {
  const std::size_t largest = SizeClassOf(shape);
  for (std::size_t index = 0; index <= largest; ++index) {
    if (m_slots[index] < shape.tasks.value() << (largest - index)) {
      return false;
    }
  }
  return true;
}

void ZoneTaskCapacity::Allocate(const Shape& shape) {
  const std::size_t largest = SizeClassOf(shape);
  for (std::size_t index = 0; index <= largest; ++index) {
    m_slots[index] -= shape.tasks.value() << (largest - index);
  }
}

void ZoneTaskCapacity::Release(const Shape& shape) {
  const std::size_t largest = SizeClassOf(shape);
  for (std::size_t index = 0; index <= largest; ++index) {
    m_slots[index] += shape.tasks.value() << (largest - index);
  }
}

void ZoneTaskCapacity::Add(const ZoneTaskCapacity& other) {
  for (std::size_t index = 0; index < kSizeCount; ++index) {
    m_slots[index] += other.m_slots[index];
  }
}

bool HasPowerOfTwoTaskSize(const Shape& shape) {
  return std::has_single_bit(static_cast<unsigned int>(shape.accelerators_per_task.value()));
}

}  // namespace papayalift
