/// Submits jobs at a fixed rate over all healthy entry nodes and tracks them until they end.
#pragma once

#include <map>
#include <mutex>
#include <random>
#include <vector>

#include "libraries/base/joining_thread.h"
#include "libraries/fleet_lab/fault_file.h"
#include "libraries/fleet_lab/lab_context.h"

namespace papayalift {

class JobLoad {
 public:
  JobLoad(LabContext& context, const LoadSpec& spec);
  ~JobLoad();

  void Start();
  void Join();

  /// Returns the specification of a job whose key is unique to this run; `label` names its purpose.
  JobSpec MakeSpec(const std::string& label, const WorkspaceId& workspace, Shape shape,
                   Milliseconds run);
  /// Submits to any healthy node and tracks the job from then on.
  JobObservation Submit(const JobSpec& spec);

  /// Updates the open jobs from a node. `mode` kReadEach reads each job with its own request.
  enum class FollowMode { kList, kReadEach };
  void Follow(FollowMode mode);
  /// Number of jobs that were accepted, or may have been, and have not been seen to end.
  std::size_t open() const;
  std::vector<JobId> OpenJobs() const;

 private:
  void Run();
  void SubmitRandom(std::mt19937_64& random);
  void Update(const JobRecord& record);

  LabContext& m_context;
  const LoadSpec m_spec;
  mutable std::mutex m_mutex;
  std::int64_t m_next_number = 0;
  std::map<JobId, JobObservation> m_open;
  JoiningThread m_thread;
};

}  // namespace papayalift
