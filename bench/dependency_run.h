// One run of the dependency benchmark: the real server between stand-in clients, a stand-in kernel and two
// stand-in dependencies, all on loopback. The server does not outlive the run.
//
// Errors: std::runtime_error if the server does not start.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "dependency_workload.h"

namespace granitegap::bench {

enum class Policy {
  fault_free,  // guarded, and the dependencies have no faults
  guarded,
  plain  // no budgets, limits or circuit breakers
};

struct Answer {
  bool received = false;
  bool served = false, rejected = false, failed = false;
  Duration latency{};
  bool has_parts = false, has_missing_parts = false;
};

struct RunResult {
  std::vector<Answer> answers;  // one for each arrival
  std::vector<Duration> calls;  // when the dependencies got requests, since the start
  std::size_t max_open_calls = 0;
  int double_runs = 0;   // of idempotent requests on the kernel
  int wait_status = -1;  // of the server's process, as waitpid(2) gave it
  double peak_rss_mb = 0;
};

struct RunOptions {
  std::uint64_t seed = 1;
  std::string program;  // path of the server
};

RunResult run_workload(const standin::Scenario& scenario, Policy policy, const std::vector<Arrival>& arrivals,
                       const RunOptions& options);

}  // namespace granitegap::bench
