/// Installs the sink of log lines.
#pragma once

#include "libraries/log/log_buffer.h"
#include "libraries/log/log_event.h"

namespace papayalift {

/// Writes log lines of at least `min_level` to standard error, one JSON object per line. Call once,
/// at startup.
void InstallJsonLogSink(LogLevel min_level);

/// Appends log lines of at least `min_level` to `buffer`, one JSON object per line, with a rate
/// limit for each kind of line. Call once, at startup; `buffer` must outlive the last log line.
void InstallBufferedLogSink(LogLevel min_level, LogBuffer& buffer);

/// Disables logging, for tests that would log very many lines.
void DisableLogging();

/// Logs how many lines of each kind the rate limit has suppressed. Call every few seconds.
void WriteSuppressedLines();

}  // namespace papayalift
