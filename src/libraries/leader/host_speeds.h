/// Learns how fast host machines are from the progress of like work on several of them at a time.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/work/run_messages.h"

namespace papayalift {

/// What a registration shows of a host machine. Minions of other machines may take its address.
struct HostIdentity {
  /// "IP:port"
  std::string address;
  /// Hash of service, labels and capacity.
  std::uint64_t fingerprint = 0;
};

HostIdentity HostIdentityOf(const MinionEntry& entry);

/// Progress of one run while other runs of like work were observed.
struct HostRate {
  HostIdentity host;
  ServiceId service;
  /// Identifies the run.
  std::uint64_t run = 0;
  /// Progress per second, above 0, in any unit that the group shares.
  double rate = 0;
  /// How much the observation counts; 1 if it is the first of its run.
  double weight = 1;
};

/// How the speeds of a service's machines are spread. Speeds are relative to their mean.
struct SpeedSpread {
  /// Number of machines that have been observed often enough.
  int machines = 0;
  /// Speed that relative speeds refer to.
  double usual = 1;
  /// Medians of the slowest and of the fastest third.
  double slowest_third = 1;
  double fastest_third = 1;
  /// From this speed on a machine counts as fast.
  double fast_from = 1;
  /// The machines differ so much that placement has to regard it.
  bool is_uneven = false;
};

/// Speed of one machine.
struct HostSpeed {
  /// HostIdentity::fingerprint.
  std::uint64_t fingerprint = 0;
  ServiceId service;
  /// Natural logarithm of the speed; 0 before the first observation.
  double log_speed = 0;
  /// Number of observations that it rests on, at most kMaxSpeedWeight.
  double weight = 0;
  Milliseconds observed_at{0};
  /// When its minion was last seen to be listed.
  Milliseconds listed_at{0};
  /// Natural logarithm of the factor by which the machine differs from its speed for the moment.
  double log_deviation = 0;
  Milliseconds deviates_since{0};
  Milliseconds deviated_at{0};
  /// Consecutive outliers of different runs.
  int outliers = 0;
  std::uint64_t last_outlier = 0;
  std::uint64_t last_usual = 0;
  /// Speed that was last logged.
  double logged_log_speed = 0;
};

/// A new observation counts at least 1 / (kMaxSpeedWeight + 1). The work of like tasks differs by
/// up to 30 %, which leaves an error of some 7 % in the speed.
constexpr double kMaxSpeedWeight = 7;

class HostSpeeds {
 public:
  /// Records the rates of runs of like work that were observed at the same time. Groups of fewer
  /// than two machines show nothing.
  void Observe(const std::vector<HostRate>& group, Milliseconds now);

  /// Takes over what a former leader has learned of a machine, unless more is known.
  void Restore(const std::string& address, const HostSpeed& speed);

  /// Drops the machines that have not been listed for some minutes. `listed` are the addresses that
  /// are listed now.
  void DropGone(const std::set<std::string>& listed, Milliseconds now);

  /// Drops the speed of the machine at the address unless it is the same machine.
  void Confirm(const HostIdentity& host);

  /// Speed of the machine relative to `spread.usual`; 1 if it is not known.
  double SpeedOf(const HostIdentity& host, const SpeedSpread& spread, Milliseconds now) const;

  /// Whether the machine has been observed often enough to rely on its speed.
  bool IsKnown(const HostIdentity& host, Milliseconds now) const;

  /// Computes the spreads anew.
  void UpdateSpreads(Milliseconds now);

  /// The spread over the machines of a service, as of the last update.
  SpeedSpread SpreadOf(const ServiceId& service) const;
  const std::map<ServiceId, SpeedSpread>& spreads() const { return m_spreads; }

  const std::map<std::string, HostSpeed>& hosts() const { return m_hosts; }

 private:
  HostSpeed& Entry(const HostRate& rate, Milliseconds now);
  void DropOldest();

  std::map<std::string, HostSpeed> m_hosts;
  std::map<ServiceId, SpeedSpread> m_spreads;
};

/// How much is still known of the machine: the weight, which halves while it is not observed.
double AgedWeight(const HostSpeed& speed, Milliseconds now);

}  // namespace papayalift
