#include "warm_state/warm_state.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace granitegap::warm_state {

bool is_within_limits(const CachedResponse& p) {
  return p.body && p.body->size() <= kMaxBodyBytes && !p.path.empty() && p.path.size() <= kMaxPathLength;
}

std::size_t size_of(const CachedResponse& p) { return p.body->size() + p.path.size() + p.dependency.size(); }

void enforce_limits(WarmState& learned) {
  auto& e = learned.endpoints;
  if (e.size() > kMaxEndpoints) {
    const auto says_more = [](const Endpoint& a, const Endpoint& b) {
      return std::pair(a.ejected_for, a.latency) > std::pair(b.ejected_for, b.latency);
    };
    std::nth_element(e.begin(), e.begin() + kMaxEndpoints, e.end(), says_more);
    e.resize(kMaxEndpoints);
  }
  if (learned.members.size() > kMaxMembers) learned.members.resize(kMaxMembers);
  std::erase_if(learned.cached_responses, [](const CachedResponse& p) { return !is_within_limits(p); });
  std::size_t bytes = 0, kept = 0;
  for (; kept < std::min(learned.cached_responses.size(), kMaxCachedResponses); ++kept) {
    bytes += size_of(learned.cached_responses[kept]);
    if (bytes > kMaxCachedResponseBytes) break;
  }
  learned.cached_responses.resize(kept);
}

namespace {

constexpr Duration kWeightHalves = std::chrono::seconds(10);

double weight_of(Duration heard_ago) {
  return std::exp2(-double(std::max(heard_ago, Duration{}).count()) / double(kWeightHalves.count()));
}

// The one at which half of the weight is reached.
const Endpoint& weighted_median(std::vector<const Endpoint*>& heard) {
  std::sort(heard.begin(), heard.end(), [](auto* a, auto* b) { return a->latency < b->latency; });
  double all = 0, sum = 0;
  for (const auto* e : heard) all += weight_of(e->latency_age);
  for (const auto* e : heard)
    if ((sum += weight_of(e->latency_age)) >= all / 2) return *e;
  return *heard.back();
}

Endpoint merged_endpoint(const std::vector<const Endpoint*>& said) {
  Endpoint to = *said.front();
  std::vector<const Endpoint*> heard;
  double in = 0, out = 0;
  for (const auto* e : said) {
    // Whoever holds it out now has not called it for a while, but is sure now.
    (e->ejected_for > Duration{} ? out : in) += e->ejected_for > Duration{} ? 1 : weight_of(e->latency_age);
    if (e->latency > Duration{}) heard.push_back(e);
  }
  to.latency = to.latency_age = to.ejected_for = {};
  to.consecutive_ejections = 0;
  if (!heard.empty()) {
    const auto& middle = weighted_median(heard);
    to.latency = middle.latency;
    to.latency_age = middle.latency_age;
  }
  if (out <= in) return to;
  // The shortest of those that hold it out: an ejection is tried again rather too soon than too late.
  for (const auto* e : said)
    if (e->ejected_for > Duration{} && (to.ejected_for == Duration{} || e->ejected_for < to.ejected_for)) {
      to.ejected_for = e->ejected_for;
      to.consecutive_ejections = e->consecutive_ejections;
    }
  return to;
}

}  // namespace

WarmState merge(const std::vector<WarmState>& several) {
  WarmState to;
  std::map<std::tuple<std::string, std::string, std::uint16_t>, std::vector<const Endpoint*>> endpoints;
  std::set<membership::Address> members;
  struct Kept {
    const CachedResponse* youngest = nullptr;
    std::size_t by = 0, at = 0;  // how many keep it; its best place among theirs
  };
  std::map<std::pair<std::string, std::string>, Kept> parts;
  for (const auto& one : several) {
    for (std::size_t n = 0; n < one.cached_responses.size(); ++n) {
      auto& k = parts[{one.cached_responses[n].dependency, one.cached_responses[n].path}];
      if (!k.youngest || one.cached_responses[n].age < k.youngest->age) k.youngest = &one.cached_responses[n];
      k.at = k.by++ == 0 ? n : std::min(k.at, n);
    }
    for (const auto& e : one.endpoints) endpoints[{e.dependency, e.host, e.port}].push_back(&e);
    members.insert(one.members.begin(), one.members.end());
  }
  for (const auto& [key, said] : endpoints) to.endpoints.push_back(merged_endpoint(said));
  to.members.assign(members.begin(), members.end());
  std::vector<Kept> order;
  for (const auto& [key, kept] : parts) order.push_back(kept);
  std::stable_sort(order.begin(), order.end(), [](const Kept& a, const Kept& b) {
    return std::pair(b.by, a.at) < std::pair(a.by, b.at);
  });
  for (const auto& k : order) to.cached_responses.push_back(*k.youngest);
  enforce_limits(to);
  return to;
}

WarmState age_by(WarmState learned, std::optional<Duration> age) {
  if (!age || *age < Duration{}) {
    learned.endpoints.clear();  // of no known age: guards against acting on an hour-old ejection
    learned.cached_responses.clear();
    return learned;
  }
  for (auto& e : learned.endpoints) {
    e.ejected_for = std::max(e.ejected_for - *age, Duration{});
    e.latency_age += *age;
    if (e.latency_age > kLatencyLifetime) e.latency = {};
  }
  std::erase_if(learned.endpoints,
                [](const Endpoint& e) { return e.ejected_for <= Duration{} && e.latency <= Duration{}; });
  for (auto& p : learned.cached_responses) p.age += *age;
  std::erase_if(learned.cached_responses,
                [](const CachedResponse& p) { return p.age > kCachedResponseLifetime; });
  if (*age > kMembersLifetime) learned.members.clear();
  return learned;
}

}  // namespace granitegap::warm_state
