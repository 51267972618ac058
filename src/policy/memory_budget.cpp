// The memory budget: queued requests, running requests at a multiple of that, and the entries of the result
// table, all in thousandths of a kilobyte.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <cmath>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

double AdmissionController::Impl::total_memory(bool queued_only) const {
  double sum = double(entry_memory) * double(cached_results.size());
  for (const auto& [id, request] : requests) {
    const bool queued = request.phase == Phase::queued;
    if (queued || !queued_only)
      sum += double(to_memory_units(request.arrival.memory)) * (queued ? 1 : run_memory_factor);
  }
  return sum;
}

std::int64_t AdmissionController::Impl::memory_in_use() const { return std::llround(total_memory(false)); }

bool AdmissionController::Impl::has_memory_for_run(const Request& request) const {
  const double more = double(to_memory_units(request.arrival.memory)) * (run_memory_factor - 1);
  return memory_in_use() + std::llround(more) <= memory_limit;
}

// Returns whether the queue, with the request added, leaves enough memory to run the request. Prevents a
// queue that takes so much memory that none of its requests can run.
bool AdmissionController::Impl::leaves_memory_for_run(const Request& request, std::int64_t entry) const {
  const double own_run = double(to_memory_units(request.arrival.memory)) * (run_memory_factor - 1);
  return total_memory(true) + double(entry) + own_run <= double(memory_limit);
}

}  // namespace granitegap
