/// State shared by the components of the fleet lab.
#pragma once

#include <memory>
#include <string>

#include "libraries/base/boot_clock.h"
#include "libraries/base/stop_signal.h"
#include "libraries/fleet_lab/control_client.h"
#include "libraries/fleet_lab/fleet_api.h"
#include "libraries/fleet_lab/node_health_tracker.h"
#include "libraries/fleet_lab/observation_log.h"

namespace papayalift {

struct LabContext {
  LabContext(const FleetListing& listing, std::uint64_t lab_seed);

  const FleetListing& fleet;
  const std::uint64_t seed;
  BootClock clock;
  /// Prefix that makes the names of this run's jobs and calls unique.
  const std::string run_name;
  const std::shared_ptr<HttpClient> client;
  FleetApi api;
  ControlClient controls;
  NodeHealthTracker node_health;
  ObservationLog log;
  /// Stops all loads and the fault runner.
  StopSignal stop;
};

}  // namespace papayalift
