#include "libraries/fleet_lab/fleet_listing.h"

#include <fmt/format.h>
#include <sys/types.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "libraries/base/try.h"
#include "libraries/model/bundle_file.h"
#include "libraries/settings/node_settings.h"

namespace papayalift {

namespace {

constexpr char kPlatform[] = "platform";

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(fmt::format("can't read '{}'", path));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool Fits(const std::string& name, const std::string& pattern) {
  return pattern.ends_with('*') ? name.starts_with(pattern.substr(0, pattern.size() - 1))
                                : name == pattern;
}

}  // namespace

absl::StatusOr<FleetListing> FleetListing::FromDirectory(const std::string& directory) {
  FleetListing listing;
  listing.m_directory = directory;
  TRY(listing.ReadBundle(TRY(ReadFile(directory + "/bundle.toml"))));
  TRY(listing.ReadNodes());
  return listing;
}

absl::StatusOr<FleetListing> FleetListing::FromNodes(const std::vector<std::string>& addresses,
                                                     const std::string& bundle) {
  FleetListing listing;
  TRY(listing.ReadBundle(bundle));
  for (const std::string& address : addresses) {
    listing.m_nodes.push_back(FleetNode{NodeId(address), address});
  }
  return listing;
}

absl::Status FleetListing::ReadBundle(const std::string& text) {
  m_bundle_text = text;
  m_bundle = TRY(ParseBundle(text, "bundle.toml"));
  return absl::OkStatus();
}

absl::Status FleetListing::ReadNodes() {
  for (int index = 0;; ++index) {
    const std::string path = fmt::format("{}/node-{}.toml", m_directory, index);
    if (!std::filesystem::exists(path)) {
      break;
    }
    const NodeSettings settings = TRY(ParseNodeSettings(TRY(ReadFile(path)), path));
    m_nodes.push_back(FleetNode{settings.id, settings.api_address});
    m_store_address = settings.store_address;
  }
  return m_nodes.empty()
             ? absl::NotFoundError(fmt::format("no node configuration found in '{}'", m_directory))
             : absl::OkStatus();
}

std::string FleetListing::AddressOf(const std::string& name) const {
  if (name == kPlatform) {
    return m_store_address;
  }
  for (const WorkerSpec& worker : m_bundle.workers) {
    if (worker.id.text() == name) {
      return worker.address;
    }
  }
  for (const ServiceSpec& service : m_bundle.services) {
    for (const MinionSpec& minion : service.minions) {
      if (minion.id.text() == name) {
        return minion.address;
      }
    }
  }
  return "";
}

ZoneOfTarget FleetListing::Zones() const {
  ZoneOfTarget zones;
  for (const WorkerSpec& worker : m_bundle.workers) {
    zones[worker.id.text()] = worker.zone;
  }
  for (const ServiceSpec& service : m_bundle.services) {
    for (const MinionSpec& minion : service.minions) {
      zones[minion.id.text()] = minion.zone;
    }
  }
  return zones;
}

std::vector<std::string> FleetListing::Matching(const std::vector<std::string>& patterns) const {
  std::vector<std::string> names{kPlatform};
  for (const auto& [name, zone] : Zones()) {
    names.push_back(name);
  }
  for (const FleetNode& node : m_nodes) {
    names.push_back(node.id.text());
  }
  std::erase_if(names, [&patterns](const std::string& name) {
    return std::none_of(patterns.begin(), patterns.end(),
                        [&name](const std::string& pattern) { return Fits(name, pattern); });
  });
  return names;
}

int FleetListing::ProcessOf(const std::string& name) const {
  std::ifstream pids(m_directory + "/pids");
  int process = 0;
  int found = 0;
  std::string listed;
  while (pids >> process >> listed) {
    found = listed == name ? process : found;
  }
  return found;
}

absl::Status FleetListing::Signal(const std::string& name, int signal) const {
  const int process = ProcessOf(name);
  if (process <= 0) {
    return absl::NotFoundError(fmt::format("'{}' is not listed in {}/pids", name, m_directory));
  }
  if (kill(static_cast<pid_t>(process), signal) != 0) {
    return absl::NotFoundError(fmt::format("process {} of '{}' has exited", process, name));
  }
  return absl::OkStatus();
}

}  // namespace papayalift
