// The figures of one run of the dependency benchmark; bench/dependencies.cpp explains them.
#pragma once
#include <nlohmann/json.hpp>
#include <vector>

#include "dependency_run.h"
#include "standin/script.h"

namespace granitegap::bench {

// The run's figures under the names that the output has.
nlohmann::ordered_json figures_json(const standin::Scenario& scenario, const std::vector<Arrival>& arrivals,
                                    const RunResult& result);

// Rounds to a multiple of `unit`.
double rounded(double value, double unit);

}  // namespace granitegap::bench
