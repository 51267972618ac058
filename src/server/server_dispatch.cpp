// Outputs of the edge to the actors that carry them out.
#include <utility>
#include <variant>

#include "server/server.h"

namespace granitegap {
void Server::dispatch(edge::Output output) {
  std::visit([this](auto& o) { carry_out(std::move(o)); }, output);
}

// One for each kind of output: a new one without does not compile.
void Server::carry_out(edge::Response&& answer) {
  const auto to = answer.to;
  listener_.deliver(to, std::move(answer));
}
void Server::carry_out(edge::HealthResponse&& health) { listener_.deliver(health.to, health); }
void Server::carry_out(edge::Command&& command) { link_.send(command); }
void Server::carry_out(edge::LoadReport&& report) {
  const auto& lifecycle = edge_actor_.edge().lifecycle();
  if (lease_table_ && lifecycle.kernel_started() && !lifecycle.stopping()) lease_table_->mark_serving();
  load_reporter_.report(report);
}
void Server::carry_out(edge::CloseIdlePeers&& idle) { listener_.close_idle_connections(idle.idle_for); }
void Server::carry_out(edge::LogEvent&& remark) {
  log_.line(remark.text, {{"event", remark.event}, {"subject", remark.subject}});
}
void Server::carry_out(edge::DependencyCall&& call) {
  if (dependency_client_) dependency_client_->start(std::move(call));
}
void Server::carry_out(edge::CancelDependencyCall&& drop) {
  if (dependency_client_) dependency_client_->cancel(drop.id);
}

void Server::carry_out(edge::StateTransferRequested&&) {
  if (state_transfer_)
    state_transfer_->start_transfer();
  else
    edge_actor_.mailbox().post_control(edge::StateTransferFinished{});
}

void Server::carry_out(edge::CacheFillReply&& answer) {
  if (cache_fill_server_) cache_fill_server_->reply(std::move(answer));
}

}  // namespace granitegap
