// The workload of the dependency benchmark: request classes and the arrivals that a seed gives.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "standin/script.h"

namespace granitegap::bench {

inline constexpr int kProxies = 32;
inline constexpr char kOrganization[] = "acme";

struct RequestClass {
  const char* name;
  double share;            // of all requests
  double priority_weight;  // of one answered within the latency objective
  double late_weight;      // factor on it for one answered later, within the deadline
  Duration latency_objective, deadline;
  Duration cost;  // core time
  int parts;      // gathered from dependencies
  bool idempotent;
};

inline constexpr RequestClass kClasses[] = {
    {"tile", 0.6, 1, 0.2, std::chrono::milliseconds(1900), std::chrono::milliseconds(4900),
     std::chrono::milliseconds(10), 0, false},
    {"route-profile", 0.3, 2, 0, std::chrono::milliseconds(1900), std::chrono::milliseconds(4900),
     std::chrono::milliseconds(25), 2, false},
    {"trail-report", 0.1, 5, 0.2, std::chrono::milliseconds(1200), std::chrono::milliseconds(3000),
     std::chrono::milliseconds(15), 1, true}};

// One request of the workload.
struct Arrival {
  Duration at{};        // since the run's start
  int class_index = 0;  // in kClasses
  int proxy = 0;
  bool repeats = false;  // an earlier request with its idempotency key
  std::string request_id, body, idempotency_key;
};

// The arrivals of a scenario in order: a Poisson process of all classes, drawn from the seed.
std::vector<Arrival> draw_arrivals(const standin::Scenario& scenario, std::uint64_t seed);

}  // namespace granitegap::bench
