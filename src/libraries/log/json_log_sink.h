/// Where log lines go.
#pragma once

#include "libraries/log/log_buffer.h"
#include "libraries/log/log_event.h"

namespace papayalift {

/// Writes one JSON object a line to standard error, from `least` on. Call once, at the start.
void InstallJsonLogSink(LogLevel min_level);

/// Appends one JSON object a line to `buffer`, from `least` on, within a budget for each kind of
/// line. Call once, at the start; the buffer must outlive the process's last line.
void InstallBufferedLogSink(LogLevel min_level, LogBuffer& buffer);

/// No line is made any more; for tests that make very many.
void DisableLogging();

/// Says which kinds of lines were left out to keep within the budget. Call every few seconds.
void WriteSuppressedLines();

}  // namespace papayalift
