#include "libraries/node/store_progress.h"

#include <criterion/criterion.h>

#include "libraries/base/manual_clock.h"

namespace papayalift {

Test(store_progress, confirmed_at_read_that_the_copy_has_not_followed_confirms_nothing) {
  ManualClock clock;
  StoreProgress progress(clock);
  progress.RecordAnswer(Milliseconds(10), Revision(7));
  cr_assert_not(progress.ConfirmedAt(Revision(6)).has_value());
  cr_assert(progress.ConfirmedAt(Revision(7)) == Milliseconds(10));
}

Test(store_progress, confirmed_at_older_read_followed_later_does_not_go_back) {
  ManualClock clock;
  StoreProgress progress(clock);
  progress.RecordAnswer(Milliseconds(10), Revision(7));
  progress.RecordAnswer(Milliseconds(20), Revision(7));
  progress.RecordAnswer(Milliseconds(30), Revision(9));
  cr_assert(progress.ConfirmedAt(Revision(8)) == Milliseconds(20));
  cr_assert(progress.ConfirmedAt(Revision(8)) == Milliseconds(20));
}

Test(store_progress, silence_counts_from_the_last_answer) {
  ManualClock clock;
  StoreProgress progress(clock);
  cr_assert(progress.contact() == StoreContact::kUnreachable);
  progress.RecordAnswer(clock.Now(), Revision(1));
  clock.Advance(Milliseconds(700));
  progress.RecordFailure();
  cr_assert(progress.contact() == StoreContact::kUnreachable);
  cr_assert(progress.silence() == Milliseconds(700));
}

}  // namespace papayalift
