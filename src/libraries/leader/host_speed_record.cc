#include "libraries/leader/host_speed_record.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

/// Texts of this length have room left for the names of services and the ends of the document.
constexpr std::size_t kMaxRowBytes = 49'152;
/// Queues beyond it are left out.
constexpr std::size_t kMaxQueueBytes = 8'192;
constexpr std::size_t kMaxAddressBytes = 64;
/// Logarithms are written in thousandths, weights in tenths.
constexpr double kLogUnits = 1'000;
constexpr double kWeightUnits = 10;
/// Speeds of 1/1,000 to 1,000.
constexpr std::int64_t kMaxLog = 6'908;
/// Durations of up to a year.
constexpr std::int64_t kMaxDurationLog = 25'000;
constexpr std::int64_t kMaxWeight = 10'000;
constexpr std::int64_t kMaxAgeSeconds = 99'999;
constexpr std::int64_t kMaxFingerprint = 0xffff'ffff;
constexpr std::int64_t kMaxWallMs = 1LL << 53;
constexpr std::int64_t kMillisecondsPerSecond = 1'000;

std::int64_t InUnits(double value, double units, std::int64_t limit) {
  return std::clamp<std::int64_t>(std::llround(value * units), -limit, limit);
}

/// Rows of texts that are filled one after the other.
class RecordParts {
 public:
  explicit RecordParts(const ClockReading& now) : m_now(now) {}

  void AddQueue(const QueueId& queue, const QueueDuration& known) {
    Json row = Json::array({queue.text(), InUnits(known.mean_duration, kLogUnits, kMaxDurationLog),
                            InUnits(known.duration_spread, kLogUnits, kMaxDurationLog),
                            InUnits(known.estimate_error, kLogUnits, kMaxDurationLog),
                            InUnits(known.weight, kWeightUnits, kMaxWeight)});
    m_queue_bytes += row.dump().size() + 1;
    if (m_queue_bytes <= kMaxQueueBytes) {
      m_queues.push_back(std::move(row));
    }
  }

  void AddHost(const std::string& address, const HostSpeed& speed) {
    const std::int64_t age = (m_now.steady - speed.observed_at).count() / kMillisecondsPerSecond;
    Json row =
        Json::array({address, speed.fingerprint, InUnits(speed.log_speed, kLogUnits, kMaxLog),
                     InUnits(speed.weight, kWeightUnits, kMaxWeight),
                     std::clamp<std::int64_t>(age, 0, kMaxAgeSeconds), NumberOf(speed.service)});
    m_row_bytes += row.dump().size() + 1;
    m_hosts.push_back(std::move(row));
    if (m_row_bytes >= kMaxRowBytes) {
      Finish();
    }
  }

  std::vector<std::string> Texts() {
    if (!m_hosts.empty() || !m_queues.empty() || m_texts.empty()) {
      Finish();
    }
    return std::move(m_texts);
  }

 private:
  std::size_t NumberOf(const ServiceId& service) {
    const auto found = std::find(m_services.begin(), m_services.end(), service.text());
    const std::size_t number = static_cast<std::size_t>(found - m_services.begin());
    if (found == m_services.end()) {
      m_services.push_back(service.text());
    }
    return number;
  }

  void Finish() {
    m_texts.push_back(Json{{"wall", m_now.wall.count()},
                           {"services", std::exchange(m_services, {})},
                           {"queues", std::exchange(m_queues, Json::array())},
                           {"hosts", std::exchange(m_hosts, Json::array())}}
                          .dump());
    m_row_bytes = 0;
  }

  const ClockReading m_now;
  std::vector<std::string> m_texts;
  std::vector<std::string> m_services;
  Json m_queues = Json::array();
  Json m_hosts = Json::array();
  std::size_t m_queue_bytes = 0;
  std::size_t m_row_bytes = 0;
};

double FromUnits(const Json& json, double units, std::int64_t minimum, std::int64_t maximum) {
  return static_cast<double>(IntegerOf(json, minimum, maximum)) / units;
}

/// `row` is [queue, mean duration, spread, error of estimates, weight].
QueueDuration DecodeQueue(const Json& row) {
  QueueDuration known;
  known.mean_duration = FromUnits(row.at(1), kLogUnits, -kMaxDurationLog, kMaxDurationLog);
  known.duration_spread = FromUnits(row.at(2), kLogUnits, 0, kMaxDurationLog);
  known.estimate_error = FromUnits(row.at(3), kLogUnits, 0, kMaxDurationLog);
  known.weight = FromUnits(row.at(4), kWeightUnits, 0, kMaxWeight);
  return known;
}

/// `row` is [address, fingerprint, logarithm of the speed, weight, age in seconds, number of
/// service].
HostSpeed DecodeHost(const Json& row, const Json& services, Milliseconds written_at,
                     Milliseconds now) {
  HostSpeed speed;
  speed.fingerprint = static_cast<std::uint64_t>(IntegerOf(row.at(1), 0, kMaxFingerprint));
  speed.log_speed = FromUnits(row.at(2), kLogUnits, -kMaxLog, kMaxLog);
  speed.weight = std::min(FromUnits(row.at(3), kWeightUnits, 0, kMaxWeight), kMaxSpeedWeight);
  const std::int64_t age = IntegerOf(row.at(4), 0, kMaxAgeSeconds);
  speed.observed_at = written_at - Milliseconds(age * kMillisecondsPerSecond);
  speed.listed_at = now;
  const std::int64_t last = static_cast<std::int64_t>(services.size()) - 1;
  speed.service = ServiceId(
      services.at(static_cast<std::size_t>(IntegerOf(row.at(5), 0, last))).get<std::string>());
  speed.logged_log_speed = speed.log_speed;
  return speed;
}

}  // namespace

std::vector<std::string> EncodeHostSpeeds(const HostSpeedRecord& record, const ClockReading& now) {
  RecordParts parts(now);
  for (const auto& [queue, known] : record.queues) {
    parts.AddQueue(queue, known);
  }
  for (const auto& [address, speed] : record.hosts) {
    if (address.size() <= kMaxAddressBytes) {
      parts.AddHost(address, speed);
    }
  }
  return parts.Texts();
}

absl::StatusOr<HostSpeedRecord> DecodeHostSpeeds(const std::string& text, const ClockReading& now) {
  return DecodeRecord<HostSpeedRecord>(text, [&now](const Json& json) {
    HostSpeedRecord record;
    const Milliseconds written_on(IntegerOf(json.at("wall"), 0, kMaxWallMs));
    // The clock of the process that wrote it may be ahead.
    const Milliseconds age = std::max(Milliseconds(0), now.wall - written_on);
    for (const Json& row : json.at("queues")) {
      record.queues[QueueId(row.at(0).get<std::string>())] = DecodeQueue(row);
    }
    for (const Json& row : json.at("hosts")) {
      record.hosts[row.at(0).get<std::string>()] =
          DecodeHost(row, json.at("services"), now.steady - age, now.steady);
    }
    return record;
  });
}

}  // namespace papayalift
