#include "libraries/leader/host_speeds.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "libraries/base/hash.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// Bounds the state. Machines that were observed longest ago are dropped first.
constexpr std::size_t kMaxHosts = 4'096;
/// A machine counts in the spread of its service from this many observations on.
constexpr double kMinKnownWeight = 3.5;
/// A speed with few observations is drawn towards the usual one as if by this many observations of
/// it.
constexpr double kPriorWeight = 0.5;
/// An unused machine may have been changed, so its speed loses half its weight in this time.
constexpr Milliseconds kWeightHalfLife{1'800'000};
/// Minions that start anew are back by then.
constexpr Milliseconds kGoneAfter{300'000};
/// A deviation from the learned speed beyond a factor of 3 is an outlier: machines of one service
/// differ by up to 2.4, while stragglers and machines that turn slow differ by 5 to 8.
const double kOutlierLog = std::log(3.0);
/// An outlier moves the learned speed like a deviation by this factor.
const double kClampedOutlierLog = std::log(1.4);
/// So many outliers in a row, of different runs, show that it is the machine that has changed.
constexpr int kOutliersThatCount = 2;
/// A machine whose deviation was not seen for longer is tried again: it may have recovered.
constexpr Milliseconds kDeviationMaxAge{6'000};
/// A deviation that lasts for longer is learned.
constexpr Milliseconds kDeviationLearnedAfter{30'000};
/// Fewer machines show no spread.
constexpr int kMinMachinesOfSpread = 6;
/// From this ratio of the fastest third to the slowest on, placement regards the speeds. Below it
/// the slowest third is at most about a quarter slower than usual, and work of usual variation is
/// on time there within 1.5 times its length.
constexpr double kUnevenRatio = 1.6;
/// Placement goes on regarding them until the ratio falls below this part of it, so that it does
/// not change with each observation.
constexpr double kNoLongerUnevenPart = 0.9;
/// A change of the learned speed by this factor is logged.
const double kLoggedChangeLog = std::log(1.3);

double MedianOf(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const std::size_t middle = values.size() / 2;
  return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

bool DeviatesAt(const HostSpeed& speed, Milliseconds now) {
  return speed.log_deviation != 0 && now - speed.deviated_at < kDeviationMaxAge;
}

/// The logarithm of the speed without deviations that pass.
double LearnedLog(const HostSpeed& speed, Milliseconds now) {
  const double weight = AgedWeight(speed, now);
  return speed.log_speed * weight / (weight + kPriorWeight);
}

/// The logarithm of the speed that the machine is expected to show.
double CurrentLog(const HostSpeed& speed, Milliseconds now) {
  return LearnedLog(speed, now) + (DeviatesAt(speed, now) ? speed.log_deviation : 0);
}

void Learn(HostSpeed& speed, double deviation, double weight) {
  speed.log_speed += deviation * weight / (speed.weight + weight);
  speed.weight = std::min(speed.weight + weight, kMaxSpeedWeight);
}

void RecordUsual(HostSpeed& speed, double deviation, const HostRate& rate) {
  speed.outliers = 0;
  speed.last_usual = rate.run;
  speed.log_deviation = 0;
  Learn(speed, deviation, rate.weight);
}

void RecordOutlier(HostSpeed& speed, double deviation, const HostRate& rate, Milliseconds now) {
  const std::uint64_t run = rate.run;
  if (run == speed.last_usual) {
    // The run itself has changed its rate, which stragglers do not.
    speed.outliers = kOutliersThatCount;
    speed.last_usual = 0;
  } else if (run != speed.last_outlier) {
    ++speed.outliers;
    Learn(speed, std::clamp(deviation, -kClampedOutlierLog, kClampedOutlierLog), rate.weight);
  }
  speed.last_outlier = run;
  if (speed.outliers < kOutliersThatCount) {
    return;
  }
  if (!DeviatesAt(speed, now)) {
    speed.deviates_since = now;
  }
  speed.log_deviation = deviation;
  speed.deviated_at = now;
  if (now - speed.deviates_since >= kDeviationLearnedAfter) {
    speed.log_speed += deviation;
    speed.log_deviation = 0;
    speed.outliers = 0;
  }
}

/// The medians of few machines are uncertain, so their ratio has to be higher.
double UnevenRatioOf(int machines) {
  return kUnevenRatio * (1 + 1 / std::sqrt(static_cast<double>(machines)));
}

SpeedSpread SpreadAmong(std::vector<double> speeds, bool was_uneven) {
  SpeedSpread spread;
  spread.machines = static_cast<int>(speeds.size());
  if (spread.machines < kMinMachinesOfSpread) {
    return spread;
  }
  std::sort(speeds.begin(), speeds.end());
  constexpr std::size_t kMiddleOfThird = 6;
  const std::size_t middle = speeds.size() / kMiddleOfThird;
  spread.usual =
      std::accumulate(speeds.begin(), speeds.end(), 0.0) / static_cast<double>(speeds.size());
  spread.slowest_third = speeds[middle] / spread.usual;
  spread.fastest_third = speeds[speeds.size() - 1 - middle] / spread.usual;
  spread.fast_from = std::sqrt(spread.slowest_third * spread.fastest_third);
  const double ratio = UnevenRatioOf(spread.machines) * (was_uneven ? kNoLongerUnevenPart : 1);
  spread.is_uneven = spread.fastest_third >= ratio * spread.slowest_third;
  return spread;
}

bool HasSeveralMachines(const std::vector<HostRate>& group) {
  return std::any_of(group.begin(), group.end(), [&group](const HostRate& rate) {
    return rate.host.address != group.front().host.address;
  });
}

void LogNotableChange(const std::string& address, HostSpeed& speed, Milliseconds former_at,
                      Milliseconds now) {
  const double current = CurrentLog(speed, now);
  if (speed.weight < kMinKnownWeight ||
      std::abs(current - speed.logged_log_speed) < kLoggedChangeLog) {
    return;
  }
  constexpr double kPercent = 100;
  LogEvent(LogLevel::kInfo, "speeds", "the learned speed of a machine has changed")
      .Field("address", address)
      .Field("percent", static_cast<std::int64_t>(std::exp(current) * kPercent))
      .Field("former_percent",
             static_cast<std::int64_t>(std::exp(speed.logged_log_speed) * kPercent))
      .Field("observations", static_cast<std::int64_t>(speed.weight))
      .Field("age_ms", (now - former_at).count())
      .Write();
  speed.logged_log_speed = current;
}

}  // namespace

HostIdentity HostIdentityOf(const MinionEntry& entry) {
  std::string description = entry.service.text();
  for (const std::string& label : entry.labels) {
    description += '\n' + label;
  }
  description += '\n' + std::to_string(entry.capacity.cpu_milli) + ' ' +
                 std::to_string(entry.capacity.memory_mb) + ' ' +
                 std::to_string(entry.capacity.accelerators);
  constexpr std::uint64_t kFingerprintBits = 0xffff'ffff;
  return HostIdentity{entry.address, Hash64(description) & kFingerprintBits};
}

double AgedWeight(const HostSpeed& speed, Milliseconds now) {
  const double age =
      static_cast<double>(std::max<std::int64_t>(0, (now - speed.observed_at).count()));
  return speed.weight * std::exp2(-age / static_cast<double>(kWeightHalfLife.count()));
}

void HostSpeeds::Observe(const std::vector<HostRate>& group, Milliseconds now) {
  if (!HasSeveralMachines(group)) {
    return;
  }
  std::vector<double> offsets;
  offsets.reserve(group.size());
  for (const HostRate& rate : group) {
    offsets.push_back(std::log(rate.rate) - CurrentLog(Entry(rate, now), now));
  }
  // The rate that the group's work would have on a machine of speed 1.
  const double usual_rate = MedianOf(offsets);
  for (const HostRate& rate : group) {
    HostSpeed& speed = Entry(rate, now);
    const Milliseconds former_at = speed.observed_at;
    speed.weight = AgedWeight(speed, now);
    speed.observed_at = now;
    const double deviation = std::log(rate.rate) - usual_rate - LearnedLog(speed, now);
    if (std::abs(deviation) < kOutlierLog) {
      RecordUsual(speed, deviation, rate);
    } else {
      RecordOutlier(speed, deviation, rate, now);
    }
    LogNotableChange(rate.host.address, speed, former_at, now);
  }
  DropOldest();
}

HostSpeed& HostSpeeds::Entry(const HostRate& rate, Milliseconds now) {
  HostSpeed& speed = m_hosts[rate.host.address];
  if (speed.fingerprint != rate.host.fingerprint) {
    speed = HostSpeed();
    speed.fingerprint = rate.host.fingerprint;
    speed.service = rate.service;
    speed.observed_at = now;
    speed.listed_at = now;
  }
  return speed;
}

void HostSpeeds::DropOldest() {
  while (m_hosts.size() > kMaxHosts) {
    m_hosts.erase(
        std::min_element(m_hosts.begin(), m_hosts.end(), [](const auto& left, const auto& right) {
          return left.second.observed_at < right.second.observed_at;
        }));
  }
}

void HostSpeeds::Restore(const std::string& address, const HostSpeed& speed) {
  const auto [known, is_new] = m_hosts.try_emplace(address, speed);
  if (!is_new && known->second.fingerprint == speed.fingerprint &&
      known->second.weight < speed.weight) {
    known->second = speed;
  }
  DropOldest();
}

void HostSpeeds::DropGone(const std::set<std::string>& listed, Milliseconds now) {
  for (auto& [address, speed] : m_hosts) {
    if (listed.contains(address)) {
      speed.listed_at = now;
    }
  }
  std::erase_if(m_hosts,
                [now](const auto& entry) { return now - entry.second.listed_at >= kGoneAfter; });
}

void HostSpeeds::Confirm(const HostIdentity& host) {
  const auto found = m_hosts.find(host.address);
  if (found != m_hosts.end() && found->second.fingerprint != host.fingerprint) {
    m_hosts.erase(found);
  }
}

double HostSpeeds::SpeedOf(const HostIdentity& host, const SpeedSpread& spread,
                           Milliseconds now) const {
  const auto found = m_hosts.find(host.address);
  const bool is_known = found != m_hosts.end() && found->second.fingerprint == host.fingerprint;
  return is_known ? std::exp(CurrentLog(found->second, now)) / spread.usual : 1;
}

bool HostSpeeds::IsKnown(const HostIdentity& host, Milliseconds now) const {
  const auto found = m_hosts.find(host.address);
  return found != m_hosts.end() && found->second.fingerprint == host.fingerprint &&
         AgedWeight(found->second, now) >= kMinKnownWeight;
}

void HostSpeeds::UpdateSpreads(Milliseconds now) {
  std::map<ServiceId, std::vector<double>> speeds;
  for (const auto& [address, speed] : m_hosts) {
    if (AgedWeight(speed, now) >= kMinKnownWeight) {
      speeds[speed.service].push_back(std::exp(LearnedLog(speed, now)));
    }
  }
  std::map<ServiceId, SpeedSpread> spreads;
  for (auto& [service, known] : speeds) {
    spreads[service] = SpreadAmong(std::move(known), SpreadOf(service).is_uneven);
  }
  m_spreads = std::move(spreads);
}

SpeedSpread HostSpeeds::SpreadOf(const ServiceId& service) const {
  const auto found = m_spreads.find(service);
  return found == m_spreads.end() ? SpeedSpread() : found->second;
}

}  // namespace papayalift
