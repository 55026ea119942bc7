#include "libraries/leader/host_speed_record.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

namespace papayalift {

namespace {

constexpr ClockReading kNow{Milliseconds(5'000'000), Milliseconds(1'800'000'000'000)};

HostSpeedRecord MakeRecord(int hosts) {
  HostSpeedRecord record;
  for (int number = 0; number < hosts; ++number) {
    HostSpeed& speed =
        record.hosts[fmt::format("10.111.{}.{}:17000", 100 + number / 100, 100 + number % 100)];
    speed.fingerprint = 4'000'000'000U + static_cast<std::uint64_t>(number);
    speed.service = ServiceId("pool");
    speed.log_speed = -0.357;
    speed.weight = 6.5;
    speed.observed_at = kNow.steady - Milliseconds(1'000'000);
  }
  record.queues[QueueId("q0")] = QueueDuration{7.6, 0.1, 0.9, 50};
  return record;
}

}  // namespace

Test(host_speed_record, decoded_record_is_as_it_was) {
  const std::vector<std::string> texts = EncodeHostSpeeds(MakeRecord(2), kNow);
  cr_assert_eq(texts.size(), 1);
  // The next leader's process has another steady clock, and reads it 20 s later.
  const ClockReading later{Milliseconds(1'000), kNow.wall + Milliseconds(20'000)};
  const absl::StatusOr<HostSpeedRecord> decoded = DecodeHostSpeeds(texts[0], later);
  cr_assert(decoded.ok());
  cr_assert_eq(decoded->hosts.size(), 2);
  const HostSpeed& speed = decoded->hosts.begin()->second;
  cr_assert_eq(speed.fingerprint, 4'000'000'000U);
  cr_assert(speed.service == ServiceId("pool"));
  cr_assert_float_eq(speed.log_speed, -0.357, 1e-9);
  cr_assert_float_eq(speed.weight, 6.5, 1e-9);
  cr_assert_eq(speed.observed_at.count(), 1'000 - 1'020'000);
  cr_assert_float_eq(decoded->queues.at(QueueId("q0")).mean_duration, 7.6, 1e-9);
}

// Wall clocks of two processes may differ; the record is never from the future.
Test(host_speed_record, clock_that_is_behind_does_not_make_the_record_younger) {
  const std::vector<std::string> texts = EncodeHostSpeeds(MakeRecord(1), kNow);
  const ClockReading earlier{kNow.steady, kNow.wall - Milliseconds(60'000)};
  cr_assert_eq(DecodeHostSpeeds(texts[0], earlier)->hosts.begin()->second.observed_at.count(),
               (kNow.steady - Milliseconds(1'000'000)).count());
}

Test(host_speed_record, large_fleet_takes_several_small_texts) {
  const std::vector<std::string> texts = EncodeHostSpeeds(MakeRecord(3'000), kNow);
  std::size_t bytes = 0;
  std::size_t hosts = 0;
  for (const std::string& text : texts) {
    cr_assert_lt(text.size(), kMaxSpeedRecordBytes);
    bytes += text.size();
    hosts += DecodeHostSpeeds(text, kNow)->hosts.size();
  }
  cr_assert_eq(hosts, 3'000);
  cr_assert_lt(bytes / 3'000, 64);
}

Test(host_speed_record, malformed_text_is_refused) {
  const std::string good = EncodeHostSpeeds(MakeRecord(1), kNow)[0];
  for (const std::string& text :
       {std::string(), std::string("[]"), std::string("{}"), good.substr(0, good.size() / 2),
        std::string(R"({"wall":1,"services":[],"queues":[],"hosts":[["a",1,0,10,0,0]]})"),
        std::string(R"({"wall":1,"services":["p"],"queues":[],"hosts":[["a",1,99999,10,0,0]]})"),
        std::string(R"({"wall":1,"services":["p"],"queues":[],"hosts":[["a",1]]})"),
        std::string(R"({"wall":"x","services":["p"],"queues":[],"hosts":[]})")}) {
    cr_assert_not(DecodeHostSpeeds(text, kNow).ok(), "%s", text.c_str());
  }
}

}  // namespace papayalift
