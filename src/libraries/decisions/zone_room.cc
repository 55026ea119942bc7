#include "libraries/decisions/zone_room.h"

#include <bit>

#include "libraries/decisions/run_lengths.h"

namespace papayalift {

namespace {

/// The index of the smallest size that holds a task of the shape.
std::size_t SizeIndexOf(const Shape& shape) {
  const unsigned int size = static_cast<unsigned int>(shape.accelerators_per_task.value());
  return static_cast<std::size_t>(std::bit_width(size - 1));
}

}  // namespace

ZoneRoom ZoneRoom::Of(const CapacityMap& capacity, const ZoneRange& zone) {
  ZoneRoom room;
  for (std::size_t position = zone.workers.begin; position < zone.workers.end; ++position) {
    VisitRunLengths(capacity.workers()[position].free, [&room](int length) {
      for (std::size_t index = 0; index < kSizes; ++index) {
        room.m_places[index] += length >> index;
      }
    });
  }
  return room;
}

bool ZoneRoom::Holds(const Shape& shape) const {
  const std::size_t largest = SizeIndexOf(shape);
  for (std::size_t index = 0; index <= largest; ++index) {
    if (m_places[index] < shape.tasks.value() << (largest - index)) {
      return false;
    }
  }
  return true;
}

void ZoneRoom::Take(const Shape& shape) {
  const std::size_t largest = SizeIndexOf(shape);
  for (std::size_t index = 0; index <= largest; ++index) {
    m_places[index] -= shape.tasks.value() << (largest - index);
  }
}

void ZoneRoom::GiveBack(const Shape& shape) {
  const std::size_t largest = SizeIndexOf(shape);
  for (std::size_t index = 0; index <= largest; ++index) {
    m_places[index] += shape.tasks.value() << (largest - index);
  }
}

void ZoneRoom::Add(const ZoneRoom& other) {
  for (std::size_t index = 0; index < kSizes; ++index) {
    m_places[index] += other.m_places[index];
  }
}

bool HasPowerOfTwoTasks(const Shape& shape) {
  return std::has_single_bit(static_cast<unsigned int>(shape.accelerators_per_task.value()));
}

}  // namespace papayalift
