// The memory budget: queued requests, running ones at a multiple of that, and the entries of the result
// table, in thousandths of a kilobyte.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <cmath>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

double AdmissionController::Impl::memory_of(bool queued_only) const {
  double sum = double(entry_memory) * double(cached_results.size());
  for (const auto& [id, request] : requests) {
    const bool queued = request.phase == Phase::queued;
    if (queued || !queued_only)
      sum += double(to_memory_units(request.arrival.memory)) * (queued ? 1 : run_memory_factor);
  }
  return sum;
}

std::int64_t AdmissionController::Impl::memory_in_use() const { return std::llround(memory_of(false)); }

bool AdmissionController::Impl::memory_for_run(const Request& request) const {
  const double more = double(to_memory_units(request.arrival.memory)) * (run_memory_factor - 1);
  return memory_in_use() + std::llround(more) <= memory_limit;
}

// Guards against a queue so full that nothing in it could ever run.
bool AdmissionController::Impl::memory_leaves_a_run(const Request& request, std::int64_t entry) const {
  const double own_run = double(to_memory_units(request.arrival.memory)) * (run_memory_factor - 1);
  return memory_of(true) + double(entry) + own_run <= double(memory_limit);
}

}  // namespace granitegap
