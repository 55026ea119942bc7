/// A number with a unit type; numbers of different units can't be mixed up.
#pragma once

#include <compare>
#include <cstdint>

namespace papayalift {

template <typename Tag, typename Number = std::int64_t>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Number value) : m_value(value) {}

  constexpr Number value() const { return m_value; }

  constexpr auto operator<=>(const StrongNumber&) const = default;
  constexpr StrongNumber operator+(StrongNumber other) const {
    return StrongNumber(m_value + other.m_value);
  }
  constexpr StrongNumber operator-(StrongNumber other) const {
    return StrongNumber(m_value - other.m_value);
  }
  constexpr StrongNumber& operator+=(StrongNumber other) {
    m_value += other.m_value;
    return *this;
  }
  constexpr StrongNumber& operator-=(StrongNumber other) {
    m_value -= other.m_value;
    return *this;
  }
  constexpr StrongNumber Next() const { return StrongNumber(m_value + 1); }

 private:
  Number m_value{};
};

}  // namespace papayalift
