// Applies a changed configuration or operator file while running.
#include "server/endpoint_address.h"
#include "server/server.h"

namespace granitegap {
namespace {

namespace asio = boost::asio;

}  // namespace

void Server::reload(const std::variant<config::Config, config::ConfigError>& loaded) {
  if (const auto* config_error = std::get_if<config::ConfigError>(&loaded))
    return log_.line("reload: keeping the previous configuration: " + config_error->message(),
                     {{"event", "reload_refused"}, {"why", config_error->message()}});
  const auto& reloaded = std::get<config::Config>(loaded);
  boost::system::error_code error;
  const auto kernel = to_asio_endpoint<asio::ip::tcp>(reloaded.kernel, error);
  const auto service =
      error ? asio::ip::udp::endpoint() : to_asio_endpoint<asio::ip::udp>(reloaded.announce, error);
  if (error)
    return log_.line("reload: keeping the previous configuration: kernel address " +
                     to_text(reloaded.kernel) + " or announce address " + to_text(reloaded.announce) +
                     " is not a numeric address: " + error.message());
  std::string needing_restart;
  const auto add_if_changed = [&](bool same, const char* name) {
    if (!same) needing_restart.append(needing_restart.empty() ? "" : ", ").append(name);
  };
  add_if_changed(reloaded.name == config_.name, "name");
  add_if_changed(reloaded.listen == config_.listen, "listen");
  add_if_changed(reloaded.limits == config_.limits, "limits");
  add_if_changed(reloaded.admin == config_.admin, "admin_addr");
  add_if_changed(reloaded.settings_text == config_.settings_text, "settings");
  config_.kernel = reloaded.kernel;
  config_.announce = reloaded.announce;
  config_.stop = reloaded.stop;
  log_.line(
      "reload: kernel at " + to_text(reloaded.kernel) + ", announce service at " + to_text(reloaded.announce),
      {{"event", "reloaded"},
       {"kernel", to_text(reloaded.kernel)},
       {"announce", to_text(reloaded.announce)}});
  if (!needing_restart.empty())
    log_.line("reload: changed but kept until a restart: " + needing_restart,
              {{"event", "reload_kept"}, {"kept", needing_restart}});
  link_.set_endpoint(kernel);
  load_reporter_.set_service(service);
}

void Server::reload(std::variant<operators::OperatorConfig, operators::Errors> loaded) {
  const auto log_rejection = [&](const operators::Errors& errors) {
    for (const auto& e : errors)
      log_.line("reload: keeping the previous operator file: " + e.text(),
                {{"event", "reload_refused"}, {"field", e.field}});
  };
  if (const auto* errors = std::get_if<operators::Errors>(&loaded)) return log_rejection(*errors);
  auto& reloaded = std::get<operators::OperatorConfig>(loaded);
  if (const auto errors = operators::resolve_classes(reloaded, config_.catalog); !errors.empty())
    return log_rejection(errors);
  if (!options_.operator_config) return;
  if (reloaded.dependency_connections != options_.operator_config->dependency_connections)
    log_.line("reload: changed but kept until a restart: connections",
              {{"event", "reload_kept"}, {"kept", "connections"}});
  if (reloaded.membership.has_value() != (membership_actor_ != nullptr))
    log_.line("reload: changed but kept until a restart: membership",
              {{"event", "reload_kept"}, {"kept", "membership"}});
  else if (membership_actor_)
    membership_actor_->change(*reloaded.membership);
  if (reloaded.recovery != options_.operator_config->recovery)
    log_.line("reload: changed but kept until a restart: recovery",
              {{"event", "reload_kept"}, {"kept", "recovery"}});
  const auto connections = options_.operator_config->dependency_connections;
  options_.operator_config = std::move(reloaded);
  options_.operator_config->dependency_connections = connections;
  log_.line("reload: operator file taken over: " +
                std::to_string(options_.operator_config->spec.dependencies.size()) + " dependencies, " +
                std::to_string(options_.operator_config->spec.gathers.size()) + " classes with gathers",
            {{"event", "reloaded"}});
  edge_actor_.mailbox().post_control(
      edge::DependencySpecUpdate{std::make_shared<const deps::Spec>(options_.operator_config->spec)});
}

}  // namespace granitegap
