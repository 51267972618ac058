// Passes the outputs of the edge to the actors that perform them.
#include <utility>
#include <variant>

#include "server/server.h"

namespace granitegap {
void Server::dispatch(edge::Output output) {
  std::visit([this](auto& alternative) { carry_out(std::move(alternative)); }, output);
}

// One overload for each kind of output: a kind without an overload does not compile.
void Server::carry_out(edge::Response&& response) {
  const auto to = response.to;
  listener_.deliver(to, std::move(response));
}
void Server::carry_out(edge::HealthResponse&& health) { listener_.deliver(health.to, health); }
void Server::carry_out(edge::Command&& command) { link_.send(command); }
void Server::carry_out(edge::LoadReport&& report) {
  const auto& lifecycle = edge_actor_.edge().lifecycle();
  if (lease_table_ && lifecycle.kernel_started() && !lifecycle.stopping()) lease_table_->mark_serving();
  load_reporter_.report(report);
}
void Server::carry_out(edge::CloseIdlePeers&& idle) { listener_.close_idle_connections(idle.idle_for); }
void Server::carry_out(edge::LogEvent&& event) {
  log_.line(event.text, {{"event", event.event}, {"subject", event.subject}});
}
void Server::carry_out(edge::DependencyCall&& call) {
  if (dependency_client_) dependency_client_->start(std::move(call));
}
void Server::carry_out(edge::CancelDependencyCall&& cancellation) {
  if (dependency_client_) dependency_client_->cancel(cancellation.id);
}

void Server::carry_out(edge::StateTransferRequested&&) {
  if (state_transfer_)
    state_transfer_->start_transfer();
  else
    edge_actor_.mailbox().post_control(edge::StateTransferFinished{});
}

void Server::carry_out(edge::CacheFillReply&& reply) {
  if (cache_fill_server_) cache_fill_server_->reply(std::move(reply));
}

}  // namespace granitegap
