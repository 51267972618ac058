// Taking over a changed configuration or operator file while running.
#include "server/endpoint_address.h"
#include "server/server.h"

namespace granitegap {
namespace {

namespace asio = boost::asio;

}  // namespace

void Server::reload(const std::variant<config::Config, config::ConfigError>& loaded) {
  if (const auto* problem = std::get_if<config::ConfigError>(&loaded))
    return log_.line("reload: keeping the old configuration: " + problem->message(),
                     {{"event", "reload_refused"}, {"why", problem->message()}});
  const auto& fresh = std::get<config::Config>(loaded);
  boost::system::error_code error;
  const auto kernel = address<asio::ip::tcp>(fresh.kernel, error);
  const auto service = error ? asio::ip::udp::endpoint() : address<asio::ip::udp>(fresh.announce, error);
  if (error) return log_.line("reload: keeping the old configuration: address: " + error.message());
  std::string fixed;
  const auto note = [&](bool same, const char* name) {
    if (!same) fixed.append(fixed.empty() ? "" : ", ").append(name);
  };
  note(fresh.name == config_.name, "name");
  note(fresh.listen == config_.listen, "listen");
  note(fresh.limits == config_.limits, "limits");
  note(fresh.admin == config_.admin, "admin_addr");
  note(fresh.settings_text == config_.settings_text, "settings");
  config_.kernel = fresh.kernel;
  config_.announce = fresh.announce;
  config_.stop = fresh.stop;
  log_.line(
      "reload: kernel at " + text_of(fresh.kernel) + ", announce service at " + text_of(fresh.announce),
      {{"event", "reloaded"}, {"kernel", text_of(fresh.kernel)}, {"announce", text_of(fresh.announce)}});
  if (!fixed.empty())
    log_.line("reload: changed but kept until a restart: " + fixed,
              {{"event", "reload_kept"}, {"kept", fixed}});
  link_.set_endpoint(kernel);
  load_reporter_.set_service(service);
}

void Server::reload(std::variant<operators::OperatorConfig, operators::Errors> loaded) {
  const auto keep = [&](const operators::Errors& errors) {
    for (const auto& e : errors)
      log_.line("reload: keeping the old operator file: " + e.text(),
                {{"event", "reload_refused"}, {"field", e.field}});
  };
  if (const auto* errors = std::get_if<operators::Errors>(&loaded)) return keep(*errors);
  auto& fresh = std::get<operators::OperatorConfig>(loaded);
  if (const auto errors = operators::resolve_classes(fresh, config_.catalog); !errors.empty())
    return keep(errors);
  if (!options_.declared) return;
  if (fresh.dependency_connections != options_.declared->dependency_connections)
    log_.line("reload: changed but kept until a restart: connections",
              {{"event", "reload_kept"}, {"kept", "connections"}});
  if (fresh.membership.has_value() != (fleet_ != nullptr))
    log_.line("reload: changed but kept until a restart: membership",
              {{"event", "reload_kept"}, {"kept", "membership"}});
  else if (fleet_)
    fleet_->change(*fresh.membership);
  if (fresh.recovery != options_.declared->recovery)
    log_.line("reload: changed but kept until a restart: recovery",
              {{"event", "reload_kept"}, {"kept", "recovery"}});
  const auto connections = options_.declared->dependency_connections;
  options_.declared = std::move(fresh);
  options_.declared->dependency_connections = connections;
  log_.line(
      "reload: operator file taken over: " + std::to_string(options_.declared->spec.dependencies.size()) +
          " dependencies, " + std::to_string(options_.declared->spec.gathers.size()) + " classes gather",
      {{"event", "reloaded"}});
  edge_actor_.mailbox().post_control(
      edge::DependencySpecUpdate{std::make_shared<const deps::Spec>(options_.declared->spec)});
}

}  // namespace granitegap
