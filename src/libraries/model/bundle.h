/// What operators declare: workspaces, guarantees, zones, workers, services and the policy.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/model/shape.h"

namespace papayalift {

/// `count` gangs of one shape that a workspace can run at any time.
struct Guarantee {
  Shape shape;
  int count = 1;
};

struct WorkspaceSpec {
  WorkspaceId id;
  /// The most accelerators it may hold at once, borrowed ones included.
  AcceleratorCount quota;
  std::vector<Guarantee> guarantees;
};

struct ZoneSpec {
  ZoneId id;
};

struct WorkerSpec {
  WorkerId id;
  ZoneId zone;
  RackId rack;
  /// "IP:port"
  std::string address;
  AcceleratorCount accelerators;
};

struct MinionSpec {
  MinionId id;
  ZoneId zone;
  /// "IP:port"
  std::string address;
  int slots = 8;
  int connections = 64;
};

struct ServiceSpec {
  ServiceId id;
  std::vector<MinionSpec> minions;
};

/// Whether all guarantees must still fit when any one zone is out.
enum class ZoneLossRule { kMustHold, kAccepted };

struct PolicySpec {
  /// One of PolicyNames() of the decision library.
  std::string name = "papaya";
};

struct Bundle {
  std::vector<ZoneSpec> zones;
  std::vector<WorkspaceSpec> workspaces;
  std::vector<WorkerSpec> workers;
  std::vector<ServiceSpec> services;
  PolicySpec policy;
  ZoneLossRule zone_loss = ZoneLossRule::kMustHold;

  const WorkspaceSpec* FindWorkspace(const WorkspaceId& id) const;
  const WorkerSpec* FindWorker(const WorkerId& id) const;
  const ServiceSpec* FindService(const ServiceId& id) const;
};

}  // namespace papayalift
