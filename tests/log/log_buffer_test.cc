#include "libraries/log/log_buffer.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <array>

namespace papayalift {

namespace {

struct PipeFixture {
  PipeFixture() { cr_assert_eq(pipe(ends.data()), 0); }
  ~PipeFixture() {
    close(ends[0]);
    close(ends[1]);
  }
  std::string Read() const {
    std::string bytes(200'000, '\0');
    bytes.resize(static_cast<std::size_t>(read(ends[0], bytes.data(), bytes.size())));
    return bytes;
  }
  std::array<int, 2> ends{};
};

}  // namespace

Test(log_buffer, lines_are_written_in_order) {
  const PipeFixture fixture;
  LogBuffer buffer(fixture.ends[1], 1'000);
  buffer.Append("one");
  buffer.Append("two");
  buffer.Flush();
  cr_assert_eq(fixture.Read(), "one\ntwo\n");
}

// Without a reader, Append() and Flush() must not block, and dropped lines are counted.
Test(log_buffer, unread_output_does_not_block_append_or_flush) {
  const PipeFixture fixture;
  LogBuffer buffer(fixture.ends[1], 100'000);
  const std::string line(99, 'x');
  constexpr int kLines = 10'000;
  for (int count = 0; count < kLines; ++count) {
    buffer.Append(line);
    buffer.Flush();
  }
  cr_assert_gt(buffer.dropped(), 0);
  cr_assert_leq(buffer.size(), 100'000);
}

Test(log_buffer, dropped_lines_are_reported_once_there_is_room) {
  const PipeFixture fixture;
  LogBuffer buffer(fixture.ends[1], 100);
  buffer.Append(std::string(90, 'a'));
  buffer.Append(std::string(90, 'b'));
  buffer.Append(std::string(90, 'c'));
  cr_assert_eq(buffer.dropped(), 2);
  buffer.Flush();
  buffer.Append("d");
  buffer.Flush();
  const std::string written = fixture.Read();
  cr_assert(written.find(R"("lines dropped","lines":2)") != std::string::npos);
}

}  // namespace papayalift
