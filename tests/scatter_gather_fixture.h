// Helpers shared by the tests of ScatterGather.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "standin/dependency_simulation.h"

namespace granitegap::deps {

// The statuses of a request's parts; the request must have ended.
inline std::vector<PartStatus> statuses_of(DependencySimulation& simulation, RequestId id) {
  EXPECT_TRUE(simulation.outcomes.count(id));
  return simulation.outcomes[id].parts;
}

// Every request has ended once and no invariant was violated.
inline void expect_no_violations(const DependencySimulation& simulation) {
  EXPECT_EQ(simulation.pending_requests(), 0u);
  EXPECT_TRUE(simulation.violations.empty()) << *simulation.violations.begin();
}

// Requests for different objects, one every `interval`, for that long.
inline std::vector<RequestId> send_requests(DependencySimulation& simulation, Duration duration,
                                            Duration interval, std::uint64_t first_obj) {
  std::vector<RequestId> ids;
  for (const auto until = simulation.now + duration; simulation.now < until; simulation.run_for(interval)) {
    ids.push_back(simulation.start_request(first_obj));
    ++first_obj;
  }
  return ids;
}

// The share of the requests whose parts were all fresh.
inline double share_complete(DependencySimulation& simulation, const std::vector<RequestId>& ids) {
  const auto complete = std::count_if(ids.begin(), ids.end(), [&](RequestId id) {
    const auto& parts = simulation.outcomes[id].parts;
    const auto is_fresh = [](PartStatus status) { return status == PartStatus::fresh; };
    return !parts.empty() && std::all_of(parts.begin(), parts.end(), is_fresh);
  });
  return double(complete) / double(std::max<std::size_t>(ids.size(), 1));
}

}  // namespace granitegap::deps
