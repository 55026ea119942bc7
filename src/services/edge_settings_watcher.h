/// Detects changes of the settings file, on SIGHUP or by its modification time.
#pragma once

#include <cstdint>
#include <string>

#include "platform/edge_settings.h"

namespace papayalift {

class EdgeSettingsWatcher {
 public:
  EdgeSettingsWatcher(platform::EdgeSettings settings, std::string path);

  /// Reads the file again if it was modified or a reload was requested, and logs the changed
  /// fields. A running process keeps the settings that it was started with.
  void ReloadIfChanged();

 private:
  std::int64_t ModifiedAt() const;

  platform::EdgeSettings m_settings;
  const std::string m_path;
  std::int64_t m_modified_at;
  int m_reloads = 0;
};

}  // namespace papayalift
