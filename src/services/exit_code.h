/// What the exit codes of `papayalift` mean.
#pragma once

namespace papayalift {

enum class ExitCode {
  kOk = 0,
  /// Refused or failed, and certainly not run.
  kNotRun = 1,
  /// The command line or a file is wrong; nothing was sent.
  kUsage = 2,
  /// The outcome is unknown; it may have run.
  kMayHaveRun = 3,
  /// It ran and failed.
  kFailed = 4,
};

}  // namespace papayalift
