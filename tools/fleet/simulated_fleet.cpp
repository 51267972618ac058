#include "fleet/simulated_fleet.h"

#include <algorithm>

namespace granitegap::fleet {

using membership::Change;
using membership::ChangeKind;
using membership::Datagram;
using membership::Status;
using namespace std::chrono_literals;

namespace {

constexpr Duration kMinDelay = 200us;
constexpr std::size_t kSocketBuffer = 400;  // datagrams that a paused process's socket keeps

membership::Address address_of(std::size_t n, std::uint16_t port) {
  membership::Address a;
  a.ip = {127, std::uint8_t(1 + (n >> 16)), std::uint8_t(n >> 8), std::uint8_t(n)};
  a.port = port;
  return a;
}

}  // namespace

SimulatedFleet::SimulatedFleet(membership::Options options, std::uint64_t seed, std::size_t nodes,
                               std::size_t zones, std::size_t seeds)
    : options_(std::move(options)), random_(seed), fault_injector_(seed ^ 0x9e3779b97f4a7c15ull) {
  for (std::size_t n = 0; n < std::min(seeds, nodes); ++n) options_.seeds.push_back(address_of(n, 9000));
  nodes_.resize(nodes);
  waiting_.resize(nodes);
  for (std::size_t n = 0; n < nodes; ++n) {
    auto& id = nodes_[n].identity;
    id.name = "n" + std::to_string(n);
    id.zone = "z" + std::to_string(n % std::max<std::size_t>(zones, 1));
    id.address = address_of(n, 9000);
    addresses_[id.address] = n;
    names_[id.name] = n;
  }
}

void SimulatedFleet::add_secondary_paths() {
  for (Node n = 0; n < nodes_.size(); ++n) {
    nodes_[n].identity.secondary_address = address_of(n, 9500);
    addresses_[nodes_[n].identity.secondary_address] = n;
  }
}

void SimulatedFleet::start(Node n, membership::Incarnation first) {
  auto& place = nodes_[n];
  ++place.lives;
  place.paused = false;
  place.identity.boot_id = membership::BootId(random_());
  place.identity.first_incarnation =
      first ? first
            : membership::Incarnation(1'000'000 + elapsed().count() / 1000 + std::int64_t(place.lives));
  place.member = std::make_unique<membership::Member>(options_, place.identity, random_(), now_);
  place.wake = {};
  dispatch_outputs(n);
}

void SimulatedFleet::start_all(Duration over) {
  for (Node n = 0; n < nodes_.size(); ++n) {
    run_for(over / std::int64_t(nodes_.size()));
    start(n);
  }
}

void SimulatedFleet::start_formed() {
  std::vector<membership::Record> all;
  for (Node n = 0; n < nodes_.size(); ++n) {
    start(n);
    const auto& m = *nodes_[n].member;
    all.push_back({m.self().name, m.self().address, m.self().boot_id, m.incarnation(), Status::alive, 0, 0,
                   m.metadata()});
  }
  for (auto& place : nodes_) place.member->add_known_members(all, now_);
}

void SimulatedFleet::change_port(Node n, std::uint16_t port) {
  addresses_.erase(nodes_[n].identity.address);
  nodes_[n].identity.address.port = port;
  addresses_[nodes_[n].identity.address] = n;
}

SimulatedFleet::Node SimulatedFleet::clone(Node n) {
  const Node duplicate = nodes_.size();
  nodes_.emplace_back();
  waiting_.emplace_back();
  nodes_[duplicate].identity = nodes_[n].identity;
  nodes_[duplicate].identity.address = address_of(duplicate, 9000);
  addresses_[nodes_[duplicate].identity.address] = duplicate;
  return duplicate;
}

void SimulatedFleet::resume(Node n) {
  nodes_[n].paused = false;
  for (auto& e : std::exchange(waiting_[n], {})) {
    e.at = now_;
    e.order = order_++;
    queue_.push(std::move(e));
  }
  if (nodes_[n].member) queue_.push({now_, order_++, n, nodes_[n].lives, nullptr, 0});
}

void SimulatedFleet::inject(Node to, Datagram datagram, std::size_t bytes, Duration after) {
  queue_.push({now_ + after, order_++, to, 0, std::make_shared<const Datagram>(std::move(datagram)), bytes});
}

void SimulatedFleet::dispatch_outputs(Node n) {
  auto& place = nodes_[n];
  for (auto& change : place.member->take_changes()) {
    if (change.detected_locally &&
        (change.kind == ChangeKind::died || change.kind == ChangeKind::suspected)) {
      const auto whom = names_.find(change.name);
      if (whom != names_.end() && nodes_[whom->second].member && !nodes_[whom->second].paused)
        ++(change.kind == ChangeKind::died ? stats_.false_dead : stats_.flaps);
    }
    if (on_change) on_change(n, change);
  }
  for (auto& send : place.member->take_outgoing()) {
    const auto bytes = membership::max_encoded_size(send.datagram);
    ++stats_.datagrams;
    stats_.bytes += bytes;
    stats_.largest = std::max(stats_.largest, bytes);
    const auto to = addresses_.find(send.to);
    if (to == addresses_.end()) continue;
    const std::string path = send.via_secondary ? "/2" : "";
    const auto fate = fault_injector_.decide(place.identity.name + path,
                                             nodes_[to->second].identity.name + path, bytes, elapsed());
    if (fate.corrupt || fate.delays.empty()) continue;  // the checksum finds it
    const auto shared = std::make_shared<const Datagram>(std::move(send.datagram));
    for (const auto after : fate.delays)
      queue_.push({now_ + kMinDelay + after, order_++, to->second, 0, shared, bytes});
  }
  const auto wake = std::max(place.member->next_wake(), now_ + 1us) + place.starved;
  if (place.wake > now_ && place.wake <= wake) return;  // an earlier one will look again
  place.wake = wake;
  queue_.push({wake, order_++, n, place.lives, nullptr, 0});
}

void SimulatedFleet::handle(const Event& e) {
  auto& place = nodes_[e.node];
  if (!place.member) return;
  if (place.paused) {
    if (e.datagram && waiting_[e.node].size() < kSocketBuffer) waiting_[e.node].push_back(e);
    return;
  }
  if (e.datagram) {
    place.member->receive(*e.datagram, e.bytes, now_);
  } else {
    if (e.boot_id != place.lives) return;
    if (place.wake <= now_) place.wake = {};
    if (place.member->next_wake() <= now_) place.member->wake(now_);
  }
  dispatch_outputs(e.node);
}

void SimulatedFleet::run_for(Duration span) {
  const auto end = now_ + span;
  while (!queue_.empty() && queue_.top().at <= end) {
    const auto e = queue_.top();
    queue_.pop();
    now_ = std::max(now_, e.at);
    handle(e);
  }
  now_ = end;
}

bool SimulatedFleet::run_until(const std::function<bool()>& holds, Duration most) {
  const auto end = now_ + most;
  while (now_ < end) {
    if (holds()) return true;
    run_for(std::min<Duration>(options_.period / 4, end - now_));
  }
  return holds();
}

std::optional<Status> SimulatedFleet::status_of(Node who, Node of) const {
  const auto& roster = nodes_[who].member->roster();
  const auto i = roster.find(nodes_[of].identity.name);
  if (i == membership::kNoMember) return std::nullopt;
  return roster.at(i).status;
}

bool SimulatedFleet::all_report(Node of, Status status) const {
  for (Node n = 0; n < nodes_.size(); ++n)
    if (n != of && nodes_[n].member && !nodes_[n].paused && status_of(n, of) != status) return false;
  return true;
}

bool SimulatedFleet::has_converged() const {
  std::size_t living = 0;
  for (const auto& place : nodes_) living += place.member != nullptr;
  for (Node n = 0; n < nodes_.size(); ++n) {
    if (!nodes_[n].member) continue;
    if (nodes_[n].member->roster().present() + 1 != living) return false;
    if (nodes_[n].member->roster().alive() + 1 != living) return false;
    for (Node of = 0; of < nodes_.size(); ++of)
      if (of != n && nodes_[of].member && status_of(n, of) != Status::alive) return false;
  }
  return true;
}

}  // namespace granitegap::fleet
