// What the server sets up where an operator declares membership or recovery.
#include <algorithm>
#include <random>

#include "server/server.h"

namespace granitegap {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

}  // namespace

void Server::create_persistence_actor(const operators::OperatorConfig::Recovery& recovery) {
  snapshot::PersistenceActor::Callbacks callbacks;
  callbacks.previous_incarnation_found = [this](const recovery::PreviousIncarnation& found) {
    edge_actor_.mailbox().post_control(edge::PreviousIncarnationFound{found});
  };
  callbacks.warm_state_loaded = [this](warm_state::WarmState what) {
    if (fleet_) fleet_->set_join_addresses(what.members);
    edge_actor_.mailbox().post_control(edge::WarmStateReceived{std::move(what)});
  };
  callbacks.collect_warm_state = [this] { return collect_warm_state(); };
  persistence_ =
      std::make_unique<snapshot::PersistenceActor>(context_.get_executor(), recovery.directory, config_.name,
                                                   recovery.snapshot_every, std::move(callbacks), log_);
}

warm_state::WarmState Server::collect_warm_state() const {
  auto what = edge_actor_.edge().export_warm_state(clocks_().steady);
  what.process_name = config_.name;
  if (!fleet_) return what;
  const auto& member = fleet_->member();
  what.boot_id = std::uint64_t(member.self().boot_id);
  const auto& roster = member.roster();
  for (membership::Index i = 0; i < roster.slot_count(); ++i)
    if (const auto& e = roster.at(i); e.known && e.certain_status == membership::Status::alive)
      what.members.push_back(e.address);
  return what;
}

std::optional<membership_udp::RecoveryReport> Server::recovery_report() const {
  const auto* controller = edge_actor_.edge().recovery();
  if (!controller) return std::nullopt;
  const auto now = clocks_().steady;
  const auto ms = [](Duration d) { return std::chrono::duration_cast<milliseconds>(d).count(); };
  membership_udp::RecoveryReport report;
  report.phase = recovery::phase_name(controller->phase());
  report.kind = recovery::restart_scope_name(controller->restart_scope());
  report.since_ms = std::uint64_t(ms(now - std::min(controller->phase_since(), now)));
  report.left_ms = std::uint64_t(ms(controller->remaining(now)));
  report.keyed_wait_ms = std::uint64_t(ms(edge_actor_.edge().key_quarantine_left(now)));
  report.offered = std::uint8_t(100 * controller->advertised_share());
  report.proven = std::uint8_t(100 * controller->verified_share());
  report.bounded = controller->max_wait_factor().has_value();
  report.recoveries = controller->recoveries();
  const auto& timeline = controller->timeline();
  const std::optional<Duration>* reached[] = {&timeline.first_response, &timeline.first_healthy,
                                              &timeline.half_share,     &timeline.nearly_full_share,
                                              &timeline.in_service,     &timeline.estimated_in_service};
  for (std::size_t k = 0; k < report.reached_ms.size(); ++k)
    if (*reached[k]) report.reached_ms[k] = ms(**reached[k]);
  if (state_transfer_)
    for (const auto& name : state_transfer_->donors())
      report.sources.push_back(
          {name, std::uint64_t(ms(now - std::min(state_transfer_->transferred_at(), now)))});
  return report;
}

void Server::create_state_transfer_actor() {
  const auto& m = *options_.declared->membership;
  const auto& member = fleet_->member();
  state_transfer::Actor::Options options{m.cluster,
                                         config_.name,
                                         m.zone,
                                         membership_udp::endpoint_of(m.bind).address(),
                                         options_.declared->recovery->state_transfer_port,
                                         config_.seed ^ std::uint64_t(member.self().boot_id)};
  recovery::DonorSelectionOptions rules;
  rules.total_timeout = options_.declared->recovery->max_learn;
  state_transfer::Actor::Callbacks callbacks;
  callbacks.clock = [this] { return clocks_().steady; };
  callbacks.make_response = [this] {
    const auto& me = fleet_->member();
    recovery::TransferResponse response;
    response.donor = config_.name;
    response.boot_id = me.self().boot_id;
    const auto* controller = edge_actor_.edge().recovery();
    response.in_service = controller && controller->phase() == recovery::Phase::in_service;
    response.view_certain =
        me.has_quorum() && !me.uncertain() && me.local_connectivity() == membership::LocalConnectivity::ok;
    response.view_age = fleet_->time_since_last_received();
    if (response.in_service) response.state = collect_warm_state();
    return response;
  };
  callbacks.may_request = [this](const asio::ip::address& who) { return fleet_->is_authorized(who); };
  callbacks.finished = [this](warm_state::WarmState what, std::size_t sources) {
    if (sources > 0) {
      fleet_->set_join_addresses(what.members);
      edge_actor_.mailbox().post_control(edge::WarmStateReceived{std::move(what), sources});
    }
    edge_actor_.mailbox().post_control(edge::StateTransferFinished{sources});
  };
  state_transfer_ = std::make_unique<state_transfer::Actor>(context_.get_executor(), std::move(options),
                                                            rules, std::move(callbacks), log_);
}

// The boot id is random at each start: the platform's seed is new then, and the clock tells most starts
// apart.
void Server::create_membership_actor() {
  const auto now = clocks_();
  const auto unix_ms = std::uint64_t(
      std::chrono::duration_cast<std::chrono::milliseconds>(now.unix.time_since_epoch()).count());
  std::mt19937_64 random(config_.seed ^ std::uint64_t(now.unix.time_since_epoch().count()));
  const auto boot_id = random();
  membership_udp::Actor::Hooks hooks;
  hooks.clock = [this] { return clocks_().steady; };
  hooks.recovery_report = [this] { return recovery_report(); };
  hooks.local_state = [this] {
    auto s = edge_actor_.edge().member_status(clocks_().steady);
    if (state_transfer_) s.recovery_status.donor_port = state_transfer_->port();
    return membership_udp::Actor::LocalState{s.stage, s.warmup_percent, s.load_percent,
                                             std::move(s.endpoint_health), s.recovery_status};
  };
  hooks.view = [this](std::shared_ptr<const membership::View> view) {
    if (state_transfer_) state_transfer_->update_view(view);
    edge_actor_.mailbox().post_control(edge::MembershipUpdate{std::move(view)});
  };
  fleet_ = std::make_unique<membership_udp::Actor>(context_.get_executor(), *options_.declared->membership,
                                                   config_.name, boot_id, unix_ms, random(), std::move(hooks),
                                                   log_);
}

}  // namespace granitegap
