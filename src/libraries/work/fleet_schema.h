/// The keys and formats of the records that operators and minions write to the store.
#pragma once

#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/work/fleet_manifest.h"
#include "libraries/work/run_messages.h"
#include "libraries/work/work_spec.h"

namespace papayalift {

/// Stateless.
class FleetSchema {
 public:
  virtual ~FleetSchema() = default;

  virtual std::string ManifestKey() const = 0;
  /// Prefix of the keys of the manifest and the evacuations.
  virtual std::string OperatorPrefix() const = 0;
  /// The key that exists while the zone is evacuated.
  virtual std::string EvacuationKey(const ZoneId& zone) const = 0;
  /// Empty if `key` is not an evacuation key.
  virtual std::optional<ZoneId> EvacuatedZone(const std::string& key) const = 0;
  virtual std::string MinionPrefix() const = 0;
  virtual std::string MinionKey(const MinionId& id) const = 0;
  virtual MinionId MinionOfKey(const std::string& key) const = 0;

  /// kInvalidArgument if the text is malformed.
  virtual absl::StatusOr<FleetManifest> DecodeManifest(const std::string& text) const = 0;
  /// kInvalidArgument if the entry does not describe a usable minion.
  virtual absl::StatusOr<MinionEntry> DecodeMinion(const MinionId& id,
                                                   const std::string& text) const = 0;
  /// The text of a minion's entry without the counters that change with each of its heartbeats.
  virtual std::string WithoutCounters(std::string text) const = 0;
  /// kInvalidArgument if the text does not describe a job; kUnimplemented if the job requires a
  /// feature that is not supported.
  virtual absl::StatusOr<WorkSpec> DecodeWork(const std::string& text) const = 0;
};

}  // namespace papayalift
