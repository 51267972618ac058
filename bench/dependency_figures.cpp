#include "dependency_figures.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace granitegap::bench {
namespace {

using Json = nlohmann::ordered_json;

constexpr double kRecoveredShare = 0.98;  // of the answers in a second that are complete
constexpr Duration kRecoveryWindow = std::chrono::seconds(1);
constexpr Duration kRecoveryStep = std::chrono::milliseconds(50);

// A request whose class has parts.
struct GatheringRequest {
  Duration at{};
  bool complete = false;  // served with all parts
};

// Sums over all arrivals; weights are priority weights that were earned.
struct Totals {
  double weight = 0, fault_weight = 0, fault_weight_without_parts = 0;
  int complete = 0, partial = 0, late = 0, unanswered = 0, rejected = 0, failed = 0;
  // During the fault: parts asked for, and requests with parts that were answered, served, and served
  // partially.
  double fault_parts = 0, fault_answered = 0, fault_served = 0, fault_partial = 0;
  std::vector<double> latencies_ms;  // of what was served
  std::vector<GatheringRequest> gathering;
};

double earned_weight(const RequestClass& cls, Duration latency) {
  if (latency <= cls.latency_objective) return cls.priority_weight;
  return latency <= cls.deadline ? cls.priority_weight * cls.late_weight : 0;
}

bool in_fault(const standin::Scenario& scenario, Duration at) {
  return at >= scenario.fault_from && at < scenario.fault_to;
}

void count_parts(Totals& totals, const Arrival& arrival, const Answer& answer, bool during_fault) {
  totals.gathering.push_back({arrival.at, answer.served && answer.has_parts && !answer.has_missing_parts});
  totals.complete += answer.served && !answer.has_missing_parts;
  totals.partial += answer.served && answer.has_missing_parts;
  if (!during_fault) return;
  ++totals.fault_answered;
  totals.fault_served += answer.served;
  totals.fault_partial += answer.served && answer.has_missing_parts;
}

void count(Totals& totals, const Arrival& arrival, const Answer& answer, bool during_fault) {
  const auto& cls = kClasses[arrival.class_index];
  if (during_fault && !arrival.repeats) totals.fault_parts += cls.parts;
  if (!answer.received) {
    ++totals.unanswered;
    return;
  }
  totals.rejected += answer.rejected;
  totals.failed += answer.failed;
  if (cls.parts > 0) count_parts(totals, arrival, answer, during_fault);
  if (!answer.served) return;
  totals.latencies_ms.push_back(double(answer.latency.count()) / 1000);
  totals.late += answer.latency > cls.latency_objective;
  if (arrival.repeats) return;  // a request and its repeats earn once
  const double weight = earned_weight(cls, answer.latency);
  totals.weight += weight;
  if (during_fault) totals.fault_weight += weight;
  if (during_fault && cls.parts == 0) totals.fault_weight_without_parts += weight;
}

Totals totals_of(const standin::Scenario& scenario, const std::vector<Arrival>& arrivals,
                 const std::vector<Answer>& answers) {
  Totals totals;
  for (std::size_t i = 0; i < arrivals.size(); ++i)
    count(totals, arrivals[i], answers[i], in_fault(scenario, arrivals[i].at));
  std::sort(totals.latencies_ms.begin(), totals.latencies_ms.end());
  return totals;
}

// Of sorted values; 0 if there are none.
double quantile_ms(const std::vector<double>& sorted_ms, double q) {
  if (sorted_ms.empty()) return 0;
  const auto index = std::min(sorted_ms.size() - 1, std::size_t(q * double(sorted_ms.size())));
  return rounded(sorted_ms[index], 0.1);
}

bool recovered_in(const std::vector<GatheringRequest>& requests, Duration from) {
  int all = 0, complete = 0;
  for (const auto& request : requests) {
    if (request.at < from || request.at >= from + kRecoveryWindow) continue;
    ++all;
    complete += request.complete;
  }
  return all > 0 && complete >= kRecoveredShare * all;
}

// Milliseconds from the fault's end to the first window that has recovered; null: none has.
Json recovered_ms(const standin::Scenario& scenario, const std::vector<GatheringRequest>& requests) {
  for (auto from = scenario.fault_to; from + kRecoveryWindow <= scenario.length; from += kRecoveryStep)
    if (recovered_in(requests, from)) return (from - scenario.fault_to).count() / 1000;
  return nullptr;
}

}  // namespace

double rounded(double value, double unit) { return std::round(value / unit) * unit; }

Json figures_json(const standin::Scenario& scenario, const std::vector<Arrival>& arrivals,
                  const RunResult& result) {
  const auto totals = totals_of(scenario, arrivals, result.answers);
  const auto fault_calls = std::count_if(result.calls.begin(), result.calls.end(),
                                         [&](Duration at) { return in_fault(scenario, at); });
  const double calls_per_part =
      totals.fault_parts > 0 ? rounded(double(fault_calls) / totals.fault_parts, 0.001) : 0;
  const double answered = std::max(totals.fault_answered, 1.0);
  return {{"served_worth", rounded(totals.weight, 0.1)},
          {"fault_worth", rounded(totals.fault_weight, 0.1)},
          {"other_worth", rounded(totals.fault_weight_without_parts, 0.1)},
          {"whole", totals.complete},
          {"partial", totals.partial},
          {"fault_served_share", rounded(totals.fault_served / answered, 0.001)},
          {"fault_partial_share", rounded(totals.fault_partial / answered, 0.001)},
          {"late", totals.late},
          {"refused", totals.rejected},
          {"failed", totals.failed},
          {"unanswered", totals.unanswered},
          {"double_runs", result.double_runs},
          {"calls_per_request", calls_per_part},
          {"p50_ms", quantile_ms(totals.latencies_ms, 0.5)},
          {"p99_ms", quantile_ms(totals.latencies_ms, 0.99)},
          {"most_open_calls", result.max_open_calls},
          {"recovered_ms", recovered_ms(scenario, totals.gathering)},
          {"rss_mb", rounded(result.peak_rss_mb, 0.1)},
          {"exit_status", result.wait_status}};
}

}  // namespace granitegap::bench
