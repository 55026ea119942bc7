/// Notices that the settings file has changed, by signal or without one.
#pragma once

#include <cstdint>
#include <string>

#include "platform/edge_settings.h"

namespace papayalift {

class EdgeSettingsWatcher {
 public:
  EdgeSettingsWatcher(platform::EdgeSettings settings, std::string path);

  /// Reads the file where it was touched or a reload was asked for, and logs what differs. What a
  /// process has been started with stays in force until its next start.
  void ReloadIfChanged();

 private:
  std::int64_t ModifiedAt() const;

  platform::EdgeSettings m_settings;
  const std::string m_path;
  std::int64_t m_modified_at;
  int m_reloads = 0;
};

}  // namespace papayalift
