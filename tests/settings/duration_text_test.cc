#include "libraries/base/duration_text.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace papayalift {

Test(duration_text, parse_each_unit_gives_its_milliseconds) {
  cr_assert(*ParseDuration("250ms") == Milliseconds(250));
  cr_assert(*ParseDuration("4.4s") == Milliseconds(4'400));
  cr_assert(*ParseDuration("5m") == Milliseconds(300'000));
  cr_assert(*ParseDuration("2h") == Milliseconds(7'200'000));
}

Test(duration_text, parse_text_without_unit_or_number_is_refused) {
  for (const char* const text : {"", "5", "s", "-1s", "1.5.2s", "1 s", "nans", "1e300h", "5d"}) {
    cr_assert_not(ParseDuration(text).ok(), "'%s' was taken", text);
  }
}

Test(duration_text, parse_of_printed_duration_gives_the_same_duration) {
  cr_assert(rc::check("text and back", [] {
    const Milliseconds duration(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000));
    const absl::StatusOr<Milliseconds> parsed = ParseDuration(DurationText(duration));
    RC_ASSERT(parsed.ok());
    RC_ASSERT(*parsed == duration);
  }));
}

}  // namespace papayalift
