#include "warm_state/warm_state.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace granitegap::warm_state {

bool fits(const CachedResponse& p) {
  return p.body && p.body->size() <= kMaxPartBody && !p.path.empty() && p.path.size() <= kMaxPartPath;
}

std::size_t bytes_of(const CachedResponse& p) { return p.body->size() + p.path.size() + p.dependency.size(); }

void bound(WarmState& learned) {
  auto& e = learned.endpoints;
  if (e.size() > kMaxEndpoints) {
    const auto says_more = [](const Endpoint& a, const Endpoint& b) {
      return std::pair(a.out_for, a.latency) > std::pair(b.out_for, b.latency);
    };
    std::nth_element(e.begin(), e.begin() + kMaxEndpoints, e.end(), says_more);
    e.resize(kMaxEndpoints);
  }
  if (learned.members.size() > kMaxMembers) learned.members.resize(kMaxMembers);
  std::erase_if(learned.parts, [](const CachedResponse& p) { return !fits(p); });
  std::size_t bytes = 0, kept = 0;
  for (; kept < std::min(learned.parts.size(), kMaxParts); ++kept) {
    bytes += bytes_of(learned.parts[kept]);
    if (bytes > kMaxPartBytes) break;
  }
  learned.parts.resize(kept);
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
  for (const auto* e : heard) all += weight_of(e->heard_ago);
  for (const auto* e : heard)
    if ((sum += weight_of(e->heard_ago)) >= all / 2) return *e;
  return *heard.back();
}

Endpoint merged_endpoint(const std::vector<const Endpoint*>& said) {
  Endpoint to = *said.front();
  std::vector<const Endpoint*> heard;
  double in = 0, out = 0;
  for (const auto* e : said) {
    // Whoever holds it out now has not called it for a while, but is sure now.
    (e->out_for > Duration{} ? out : in) += e->out_for > Duration{} ? 1 : weight_of(e->heard_ago);
    if (e->latency > Duration{}) heard.push_back(e);
  }
  to.latency = to.heard_ago = to.out_for = {};
  to.times_out = 0;
  if (!heard.empty()) {
    const auto& middle = weighted_median(heard);
    to.latency = middle.latency;
    to.heard_ago = middle.heard_ago;
  }
  if (out <= in) return to;
  // The shortest of those that hold it out: an ejection is tried again rather too soon than too late.
  for (const auto* e : said)
    if (e->out_for > Duration{} && (to.out_for == Duration{} || e->out_for < to.out_for)) {
      to.out_for = e->out_for;
      to.times_out = e->times_out;
    }
  return to;
}

}  // namespace

WarmState merged(const std::vector<WarmState>& several) {
  WarmState to;
  std::map<std::tuple<std::string, std::string, std::uint16_t>, std::vector<const Endpoint*>> endpoints;
  std::set<membership::Address> members;
  struct Kept {
    const CachedResponse* youngest = nullptr;
    std::size_t by = 0, at = 0;  // how many keep it; its best place among theirs
  };
  std::map<std::pair<std::string, std::string>, Kept> parts;
  for (const auto& one : several) {
    for (std::size_t n = 0; n < one.parts.size(); ++n) {
      auto& k = parts[{one.parts[n].dependency, one.parts[n].path}];
      if (!k.youngest || one.parts[n].age < k.youngest->age) k.youngest = &one.parts[n];
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
  for (const auto& k : order) to.parts.push_back(*k.youngest);
  bound(to);
  return to;
}

WarmState aged(WarmState learned, std::optional<Duration> age) {
  if (!age || *age < Duration{}) {
    learned.endpoints.clear();  // of no known age: guards against acting on an hour-old ejection
    learned.parts.clear();
    return learned;
  }
  for (auto& e : learned.endpoints) {
    e.out_for = std::max(e.out_for - *age, Duration{});
    e.heard_ago += *age;
    if (e.heard_ago > kLatencyLifetime) e.latency = {};
  }
  std::erase_if(learned.endpoints,
                [](const Endpoint& e) { return e.out_for <= Duration{} && e.latency <= Duration{}; });
  for (auto& p : learned.parts) p.age += *age;
  std::erase_if(learned.parts, [](const CachedResponse& p) { return p.age > kCachedResponseLifetime; });
  if (*age > kMembersLifetime) learned.members.clear();
  return learned;
}

}  // namespace granitegap::warm_state
