#include "services/edge_settings_watcher.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <sys/stat.h>

#include <utility>

#include "libraries/log/log_event.h"
#include "services/process_signals.h"
#include "services/text_file.h"

namespace papayalift {

EdgeSettingsWatcher::EdgeSettingsWatcher(platform::EdgeSettings settings, std::string path)
    : m_settings(std::move(settings)), m_path(std::move(path)), m_modified_at(ModifiedAt()) {}

std::int64_t EdgeSettingsWatcher::ModifiedAt() const {
  struct stat status {};
  if (stat(m_path.c_str(), &status) != 0) {
    return 0;
  }
  constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
  return status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec;
}

void EdgeSettingsWatcher::ReloadIfChanged() {
  const std::int64_t modified_at = ModifiedAt();
  const int reloads = ProcessSignals::reloads();
  if (modified_at == m_modified_at && reloads == m_reloads) {
    return;
  }
  m_modified_at = modified_at;
  m_reloads = reloads;
  const absl::StatusOr<std::string> text = ReadTextFile(m_path);
  const absl::StatusOr<platform::EdgeSettings> settings =
      text.ok() ? platform::ParseEdgeSettings(*text, m_path) : text.status();
  if (!settings.ok()) {
    LogEvent(LogLevel::kError, "edge", "settings not reloaded")
        .Reason(std::string(settings.status().message()))
        .Write();
    return;
  }
  LogEvent(LogLevel::kInfo, "edge", "settings reloaded")
      .Field("changed",
             fmt::format("{}", fmt::join(platform::ChangedFields(m_settings, *settings), " ")))
      .Write();
  m_settings = *settings;
}

}  // namespace papayalift
