#include "dependency_workload.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <random>

namespace granitegap::bench {
namespace {

constexpr double kRepeatShare = 0.3;  // of idempotent requests
constexpr double kMaxRepeatDelayUs = 300000;
constexpr int kLastClass = int(std::size(kClasses)) - 1;

std::string hexadecimal(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

// The order of its draws decides what a seed gives.
class ArrivalGenerator {
 public:
  ArrivalGenerator(const standin::Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario), random_(seed) {}

  std::vector<Arrival> draw_all() {
    const double end_us = double(scenario_.length.count());
    double at_us = draw_gap_us();
    for (; at_us < end_us; at_us += draw_gap_us()) draw_at(Duration(std::llround(at_us)));
    std::stable_sort(arrivals_.begin(), arrivals_.end(),
                     [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    return std::move(arrivals_);
  }

 private:
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  double draw_gap_us() { return -std::log(1 - uniform()) / scenario_.rate * 1e6; }

  int draw_class() {
    double drawn = uniform();
    int index = 0;
    while (index < kLastClass && drawn >= kClasses[index].share) drawn -= kClasses[index++].share;
    return index;
  }

  void draw_at(Duration at) {
    Arrival arrival;
    arrival.at = at;
    arrival.class_index = draw_class();
    const bool idempotent = kClasses[arrival.class_index].idempotent;
    arrival.body = "key" + std::to_string(random_() % scenario_.keys);
    if (idempotent) {
      arrival.idempotency_key = hexadecimal(random_()) + hexadecimal(arrivals_.size());
      arrival.body += " of " + arrival.idempotency_key;
    }
    const bool repeated = idempotent && uniform() < kRepeatShare;
    const auto repeat_delay = Duration(std::llround(uniform() * kMaxRepeatDelayUs));
    add(arrival);
    if (!repeated) return;
    arrival.repeats = true;
    arrival.at += repeat_delay;
    add(arrival);
  }

  void add(Arrival arrival) {
    arrival.request_id = hexadecimal(arrivals_.size() + 1);
    arrival.proxy = int(arrivals_.size() % kProxies);
    arrivals_.push_back(std::move(arrival));
  }

  const standin::Scenario& scenario_;
  std::mt19937_64 random_;
  std::vector<Arrival> arrivals_;
};

}  // namespace

std::vector<Arrival> draw_arrivals(const standin::Scenario& scenario, std::uint64_t seed) {
  return ArrivalGenerator(scenario, seed).draw_all();
}

}  // namespace granitegap::bench
