#include "membership_fault.h"

#include <algorithm>

namespace granitegap::bench {
namespace {

using namespace std::chrono_literals;

constexpr auto kResumeGrace = 8s;         // a process may be suspected for so long after a pause
constexpr unsigned kMaxPauseGapMs = 400;  // between the begins of two pauses

}  // namespace

MembershipFault::MembershipFault(const MembershipScenario& scenario, fleet::ProcessFleet& fleet,
                                 std::uint64_t seed, Clock::time_point began, Clock::time_point end)
    : scenario_(scenario), fleet_(fleet), began_(began), end_(end), random_(seed), next_pause_(began) {
  const auto names = fleet.names();
  order_.assign(names.begin(), names.end());
  std::shuffle(order_.begin(), order_.end(), random_);
  const auto all = order_.size();
  const auto count =
      scenario.fault == FaultType::partition_halves ? all / 2 : std::min(scenario.targets, all - 1);
  targets_.insert(order_.begin(), order_.begin() + std::ptrdiff_t(count));
}

void MembershipFault::advance() {
  const auto now = Clock::now();
  if (scenario_.fault == FaultType::pause) return advance_pauses(now);
  if (scenario_.fault == FaultType::none) return;
  if (!begun_ && now - began_ >= scenario_.fault_at) begin();
  if (!begun_ || healed_) return;
  if (scenario_.fault == FaultType::kill || scenario_.fault_duration.count() == 0) return;
  if (Clock::now() - begun_at_ < scenario_.fault_duration) return;
  healed_ = true;
  fleet_.heal(rule_);
  healed_at_ = Clock::now();
}

void MembershipFault::begin() {
  begun_ = true;
  begun_at_ = Clock::now();
  switch (scenario_.fault) {
    case FaultType::kill:
      for (const auto& name : targets_) fleet_.kill(name);
      break;
    case FaultType::partition_halves: {
      fleet::ProcessFleet::Names others(order_.begin(), order_.end());
      for (const auto& name : targets_) others.erase(name);
      rule_ = fleet_.partition(targets_, others, true);
      break;
    }
    case FaultType::partition_pair:
      rule_ = fleet_.partition({pair_sender()}, {pair_receiver()});
      break;
    case FaultType::block_output:
      rule_ = fleet_.partition(targets_, {});
      break;
    case FaultType::pause:
    case FaultType::none:
      break;
  }
}

// Keeps up to `targets` processes paused at any time.
void MembershipFault::advance_pauses(Clock::time_point now) {
  for (auto it = paused_until_.begin(); it != paused_until_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    fleet_.resume(it->first);
    resumed_at_[it->first] = now;
    it = paused_until_.erase(it);
  }
  const auto limit = std::min(scenario_.targets, order_.size() - 1);
  const bool may_pause = paused_until_.size() < limit && now + scenario_.fault_duration < end_;
  if (now < next_pause_ || !may_pause) return;
  const auto& name = order_[random_() % order_.size()];
  if (!paused_until_.contains(name)) {
    fleet_.pause(name);
    paused_until_[name] = now + scenario_.fault_duration;
  }
  next_pause_ = now + std::chrono::milliseconds(random_() % kMaxPauseGapMs);
}

bool MembershipFault::explains(const std::string& observer, const std::string& member,
                               Clock::time_point at) const {
  switch (scenario_.fault) {
    case FaultType::kill:
      return hits(member);
    case FaultType::block_output:
      return hits(member) || hits(observer);
    case FaultType::partition_halves:
      return hits(member) != hits(observer);
    case FaultType::pause: {
      if (paused_until_.contains(member)) return true;
      const auto resumed = resumed_at_.find(member);
      return resumed != resumed_at_.end() && at - resumed->second < kResumeGrace;
    }
    case FaultType::partition_pair:
    case FaultType::none:
      return false;
  }
  return false;
}

}  // namespace granitegap::bench
