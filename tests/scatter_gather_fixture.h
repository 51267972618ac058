// Helpers shared by the tests of ScatterGather.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "standin/dependency_simulation.h"

namespace granitegap::deps {

// Returns the statuses of the parts of a request. Expects that the request has ended.
inline std::vector<PartStatus> part_statuses(DependencySimulation& simulation, RequestId id) {
  EXPECT_TRUE(simulation.outcomes.count(id));
  return simulation.outcomes[id].parts;
}

// Expects that every request has ended exactly once and that no invariant was violated.
inline void expect_no_violations(const DependencySimulation& simulation) {
  EXPECT_EQ(simulation.pending_requests(), 0u);
  EXPECT_TRUE(simulation.violations.empty()) << *simulation.violations.begin();
}

// Sends requests for consecutive objects from `first_obj` on, one every `interval`, for `duration`. Returns
// their ids.
inline std::vector<RequestId> send_requests(DependencySimulation& simulation, Duration duration,
                                            Duration interval, std::uint64_t first_obj) {
  std::vector<RequestId> ids;
  for (const auto until = simulation.now + duration; simulation.now < until; simulation.run_for(interval)) {
    ids.push_back(simulation.start_request(first_obj));
    ++first_obj;
  }
  return ids;
}

// Returns the fraction of the requests whose parts were all fresh.
inline double complete_fraction(DependencySimulation& simulation, const std::vector<RequestId>& ids) {
  const auto complete = std::count_if(ids.begin(), ids.end(), [&](RequestId id) {
    const auto& parts = simulation.outcomes[id].parts;
    const auto is_fresh = [](PartStatus status) { return status == PartStatus::fresh; };
    return !parts.empty() && std::all_of(parts.begin(), parts.end(), is_fresh);
  });
  return double(complete) / double(std::max<std::size_t>(ids.size(), 1));
}

}  // namespace granitegap::deps
