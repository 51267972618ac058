// The actors for membership, state transfer and snapshots, which run only if the operator file declares
// membership or recovery.
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
  callbacks.warm_state_loaded = [this](warm_state::WarmState state) {
    if (membership_actor_) membership_actor_->set_join_addresses(state.members);
    edge_actor_.mailbox().post_control(edge::WarmStateReceived{std::move(state)});
  };
  callbacks.collect_warm_state = [this] { return collect_warm_state(); };
  persistence_ =
      std::make_unique<snapshot::PersistenceActor>(context_.get_executor(), recovery.directory, config_.name,
                                                   recovery.snapshot_every, std::move(callbacks), log_);
}

warm_state::WarmState Server::collect_warm_state() const {
  auto state = edge_actor_.edge().export_warm_state(clocks_().steady);
  state.process_name = config_.name;
  if (!membership_actor_) return state;
  const auto& member = membership_actor_->member();
  state.boot_id = std::uint64_t(member.self().boot_id);
  const auto& roster = member.roster();
  for (membership::Index i = 0; i < roster.slot_count(); ++i)
    if (const auto& entry = roster.at(i); entry.known && entry.certain_status == membership::Status::alive)
      state.members.push_back(entry.address);
  return state;
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
  const std::optional<Duration>* milestones[] = {&timeline.first_response, &timeline.first_healthy,
                                                 &timeline.half_share,     &timeline.nearly_full_share,
                                                 &timeline.in_service,     &timeline.estimated_in_service};
  for (std::size_t k = 0; k < report.reached_ms.size(); ++k)
    if (*milestones[k]) report.reached_ms[k] = ms(**milestones[k]);
  if (state_transfer_)
    for (const auto& name : state_transfer_->donors())
      report.sources.push_back(
          {name, std::uint64_t(ms(now - std::min(state_transfer_->transferred_at(), now)))});
  return report;
}

void Server::create_state_transfer_actor() {
  const auto& settings = *options_.operator_config->membership;
  const auto& member = membership_actor_->member();
  state_transfer::Actor::Options options{settings.cluster,
                                         config_.name,
                                         settings.zone,
                                         membership_udp::endpoint_of(settings.bind).address(),
                                         options_.operator_config->recovery->state_transfer_port,
                                         config_.seed ^ std::uint64_t(member.self().boot_id)};
  recovery::DonorSelectionOptions donor_options;
  donor_options.total_timeout = options_.operator_config->recovery->max_learn;
  state_transfer::Actor::Callbacks callbacks;
  callbacks.clock = [this] { return clocks_().steady; };
  callbacks.make_response = [this] {
    const auto& local_member = membership_actor_->member();
    recovery::TransferResponse response;
    response.donor = config_.name;
    response.boot_id = local_member.self().boot_id;
    const auto* controller = edge_actor_.edge().recovery();
    response.in_service = controller && controller->phase() == recovery::Phase::in_service;
    response.view_certain = local_member.has_quorum() && !local_member.uncertain() &&
                            local_member.local_connectivity() == membership::LocalConnectivity::ok;
    response.view_age = membership_actor_->time_since_last_received();
    if (response.in_service) response.state = collect_warm_state();
    return response;
  };
  callbacks.may_request = [this](const asio::ip::address& peer) {
    return membership_actor_->is_authorized(peer);
  };
  callbacks.finished = [this](warm_state::WarmState state, std::size_t sources) {
    if (sources > 0) {
      membership_actor_->set_join_addresses(state.members);
      edge_actor_.mailbox().post_control(edge::WarmStateReceived{std::move(state), sources});
    }
    edge_actor_.mailbox().post_control(edge::StateTransferFinished{sources});
  };
  state_transfer_ = std::make_unique<state_transfer::Actor>(context_.get_executor(), std::move(options),
                                                            donor_options, std::move(callbacks), log_);
}

// The boot id is random for each process: it is drawn from the seed, which the platform changes at each
// start, combined with the clock, which differs between most starts.
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
    auto status = edge_actor_.edge().member_status(clocks_().steady);
    if (state_transfer_) status.recovery_status.donor_port = state_transfer_->port();
    return membership_udp::Actor::LocalState{status.stage, status.warmup_percent, status.load_percent,
                                             std::move(status.endpoint_health), status.recovery_status};
  };
  hooks.view = [this](std::shared_ptr<const membership::View> view) {
    if (state_transfer_) state_transfer_->update_view(view);
    edge_actor_.mailbox().post_control(edge::MembershipUpdate{std::move(view)});
  };
  membership_actor_ = std::make_unique<membership_udp::Actor>(
      context_.get_executor(), *options_.operator_config->membership, config_.name, boot_id, unix_ms,
      random(), std::move(hooks), log_);
}

}  // namespace granitegap
