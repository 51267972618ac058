#include "standin/cache_fill_simulation.h"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

#include "standin/dependency_simulation.h"

namespace granitegap::deps {
namespace {

using namespace std::chrono_literals;

constexpr Duration kMemberLatency = 1ms;  // one way between two members
constexpr Duration kBudget = 400ms;
constexpr std::uint16_t kFirstFillPort = 8000, kFirstGossipPort = 9000;
constexpr std::uint64_t kFirstBootId = 100;

}  // namespace

membership::View::Peer simulated_member(std::size_t n) {
  membership::View::Peer peer;
  peer.name = "n" + std::to_string(n);
  peer.hash = membership::name_hash(peer.name);
  peer.status = membership::Status::alive;
  peer.certain_status = membership::Status::alive;
  peer.metadata.version = 1;
  peer.metadata.stage = membership::Stage::serving;
  peer.metadata.cache_fill_port = std::uint16_t(kFirstFillPort + n);
  peer.address.ip = {127, 0, 0, 1};
  peer.address.port = std::uint16_t(kFirstGossipPort + n);
  peer.boot_id = membership::BootId(kFirstBootId + n);
  return peer;
}

membership::View simulated_view(std::size_t own, std::size_t members) {
  membership::View view;
  view.own_hash = simulated_member(own).hash;
  view.fleet_size = members;
  for (std::size_t n = 0; n < members; ++n)
    if (n != own) view.peers.push_back(simulated_member(n));
  return view;
}

CacheFillSimulation::CacheFillSimulation(std::size_t members, Spec spec)
    : spec_(std::make_shared<Spec>(std::move(spec))) {
  for (std::size_t n = 0; n < members; ++n) {
    members_.push_back(std::make_unique<Member>(ScatterGather(spec_, n + 1)));
    const auto view = std::make_shared<membership::View>(simulated_view(n, members));
    scatter_gather(n).on_membership_view(view, now);
  }
}

Spec CacheFillSimulation::default_spec() {
  auto spec = two_dependencies();
  spec.gathers[0].parts.pop_back();
  spec.gathers[0].parts[0].max_fresh_age = 10s;
  for (auto& dependency : spec.dependencies) {
    dependency.fleet_cache_fill = true;
    dependency.hedge_quantile = 0;
  }
  return spec;
}

std::uint64_t CacheFillSimulation::key_of(std::uint64_t obj) {
  char path[32];
  std::snprintf(path, sizeof path, "/e/%016llx", static_cast<unsigned long long>(obj));
  return cache_fill_key("elevation.example.org", path);
}

std::size_t CacheFillSimulation::owner_of(std::uint64_t obj) const {
  KeyOwnerSelector selector;
  selector.update_view(simulated_view(0, members_.size()));
  const auto owner = selector.find_owner(key_of(obj), now);
  for (std::size_t n = 1; owner && n < members_.size(); ++n)
    if (simulated_member(n).hash == owner->member_hash) return n;
  return 0;
}

std::uint32_t CacheFillSimulation::start_request(std::size_t member, std::uint64_t obj, ClassId cls) {
  ++last_id_;
  const auto id = last_id_;
  started_[{member, id}] = now;
  scatter_gather(member).begin(RequestId{id}, cls, {obj, "b", "route-profile"}, kBudget, true, now);
  carry_out_actions(member);
  return id;
}

void CacheFillSimulation::run_for(Duration duration) {
  const auto until = now + duration;
  do {
    now = std::max(now, next_event(until));
    run_due_events();
    for (std::size_t n = 0; n < members_.size(); ++n) {
      scatter_gather(n).tick(now);
      carry_out_actions(n);
    }
  } while (now < until);
}

TimePoint CacheFillSimulation::next_event(TimePoint until) {
  auto next = until;
  for (auto& member : members_)
    if (const auto timer = member->scatter_gather.next_timer()) next = std::min(next, *timer);
  if (!events_.empty()) next = std::min(next, events_.begin()->first);
  return next;
}

void CacheFillSimulation::run_due_events() {
  while (!events_.empty() && events_.begin()->first <= now) {
    const auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
}

void CacheFillSimulation::carry_out_actions(std::size_t member) {
  const auto pending = scatter_gather(member).actions();
  const std::vector<Action> actions(pending.begin(), pending.end());
  std::vector<Call> calls;
  for (const auto& action : actions)
    if (const auto* start = std::get_if<StartCall>(&action))
      calls.push_back({start->id, *start->path, start->owner ? *start->owner : KeyOwner{}});
  scatter_gather(member).clear_actions();
  auto call = calls.begin();
  for (const auto& action : actions) {
    if (std::holds_alternative<StartCall>(action))
      carry_out(member, *call++);
    else if (const auto* ended = std::get_if<GatherEnded>(&action))
      carry_out(member, *ended);
  }
}

void CacheFillSimulation::carry_out(std::size_t member, const Call& call) {
  if (call.owner.member_hash != 0) {
    ++owner_requests;
    schedule(kMemberLatency, [this, member, call] {
      receive_cache_fill(member, call.id, call.path, call.owner.address.port);
    });
    return;
  }
  ++dependency_calls;
  schedule(dependency_latency, [this, member, call] {
    const auto outcome = dependency_is_healthy ? CallOutcome::ok : CallOutcome::error;
    complete_call(member, call.id, outcome, std::make_shared<const std::string>("data of " + call.path));
  });
}

void CacheFillSimulation::carry_out(std::size_t member, const GatherEnded& ended) {
  const auto id = std::uint32_t(ended.id);
  const auto part = scatter_gather(member).parts(ended.id).at(0);
  scatter_gather(member).release(ended.id);
  auto& fills = members_[member]->pending_fills;
  if (const auto fill = fills.find(id); fill != fills.end()) {
    const auto reply = std::move(fill->second);
    fills.erase(fill);
    return reply(ended.required_parts_present ? part.body : nullptr, part.age);
  }
  results[{member, id}] = {part.status, part.age, now - started_[{member, id}], part.body ? *part.body : ""};
}

void CacheFillSimulation::complete_call(std::size_t member, CallId id, CallOutcome outcome, SharedBody body) {
  scatter_gather(member).on_call_completed({id, outcome, kMemberLatency, {}, std::move(body)}, now);
  carry_out_actions(member);
}

// The member at that port is asked for a cache fill; the reply completes the call of the asking member.
void CacheFillSimulation::receive_cache_fill(std::size_t from, CallId call, const std::string& target,
                                             std::uint16_t port) {
  const auto owner = std::size_t(port - kFirstFillPort);
  const auto request = parse_request_target(target);
  if (!request) throw std::logic_error("a cache fill request that does not parse: " + target);
  if (silent_members.contains(owner)) return;
  const FillReply reply = [this, from, call](const SharedBody& body, Duration age) {
    schedule(kMemberLatency, [this, from, call, body, age] {
      if (!body) return complete_call(from, call, CallOutcome::not_found, nullptr);
      complete_call(from, call, CallOutcome::ok,
                    std::make_shared<const std::string>(encode_fill_body(age, *body)));
    });
  };
  const bool is_current =
      request->target_boot_id == simulated_member(owner).boot_id && !restarted_members.contains(owner);
  ++last_id_;
  const auto id = last_id_;
  members_[owner]->pending_fills[id] = reply;
  if (!is_current || !scatter_gather(owner).begin_cache_fill(RequestId{id}, *request, now)) {
    members_[owner]->pending_fills.erase(id);
    return reply(nullptr, {});
  }
  carry_out_actions(owner);
}

}  // namespace granitegap::deps
