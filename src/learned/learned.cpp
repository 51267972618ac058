#include "learned/learned.h"

#include <algorithm>
#include <utility>

namespace granitegap::learned {

void bound(Learned& learned) {
  auto& e = learned.endpoints;
  if (e.size() > kMostEndpoints) {
    const auto says_more = [](const Endpoint& a, const Endpoint& b) {
      return std::pair(a.out_for, a.latency) > std::pair(b.out_for, b.latency);
    };
    std::nth_element(e.begin(), e.begin() + kMostEndpoints, e.end(), says_more);
    e.resize(kMostEndpoints);
  }
  if (learned.members.size() > kMostMembers) learned.members.resize(kMostMembers);
}

Learned faded(Learned learned, std::optional<Duration> age) {
  if (!age || *age < Duration{}) {
    learned.endpoints.clear();  // of no known age: guards against acting on an hour-old ejection
    return learned;
  }
  for (auto& e : learned.endpoints) {
    e.out_for = std::max(e.out_for - *age, Duration{});
    e.heard_ago += *age;
    if (e.heard_ago > kLatencyLasts) e.latency = {};
  }
  std::erase_if(learned.endpoints,
                [](const Endpoint& e) { return e.out_for <= Duration{} && e.latency <= Duration{}; });
  if (*age > kMembersLast) learned.members.clear();
  return learned;
}

}  // namespace granitegap::learned
