// One tile server: its command line, its configuration, its signals and its exit status.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <thread>
#include <variant>

#include "membership_udp/status_client.h"
#include "net/inherited_socket.h"
#include "server/server.h"
#include "snapshot/snapshot_files.h"
#include "snapshot/snapshot_json.h"

namespace granitegap {
namespace {

constexpr int kUnusable = 2;

struct Options {
  std::string operator_file;
  LogFormat log = LogFormat::text;
  bool plain = false, plain_membership = false;
};

int print(const operators::Errors& errors) {
  for (const auto& e : errors) std::fprintf(stderr, "%s\n", e.text().c_str());
  return kUnusable;
}

int check(const std::string& path) {
  auto declared = operators::load(path);
  if (const auto* errors = std::get_if<operators::Errors>(&declared)) return print(*errors);
  auto& good = std::get<operators::OperatorConfig>(declared);
  // With the platform's settings at hand its classes are held against them too.
  if (const char* platform = std::getenv("EDGE_CONFIG")) {
    const auto loaded = config::load(platform);
    if (const auto* problem = std::get_if<config::ConfigError>(&loaded)) {
      std::fprintf(stderr, "granitegap: EDGE_CONFIG %s: %s\n", platform, problem->message().c_str());
      return kUnusable;
    }
    if (const auto errors = operators::resolve_classes(good, std::get<config::Config>(loaded).catalog);
        !errors.empty())
      return print(errors);
  }
  std::fputs(typed_config::print(good.values).c_str(), stdout);
  return 0;
}

int report(const std::string& problem) {
  std::fprintf(stderr, "granitegap: %s\n", problem.c_str());
  return kUnusable;
}

// A Server's options, or the exit status once an error has been printed.
using ServerOptions = std::variant<Server::Options, int>;

// What the operator file declares, checked against the platform's settings. Empty where no file is named.
std::variant<std::optional<operators::OperatorConfig>, int> read_operator_file(const std::string& path,
                                                                               const config::Config& config) {
  if (path.empty()) return std::optional<operators::OperatorConfig>{};
  auto loaded = operators::load(path);
  if (const auto* errors = std::get_if<operators::Errors>(&loaded)) return print(*errors);
  auto& declared = std::get<operators::OperatorConfig>(loaded);
  if (const auto errors = operators::resolve_classes(declared, config.catalog); !errors.empty())
    return print(errors);
  return std::optional(std::move(declared));
}

// The admin address; the environment wins over the file, as two processes may share one file.
// Empty where none is configured.
std::variant<std::optional<config::Endpoint>, int> read_admin_address(const config::Config& config) {
  auto admin = config.admin;
  if (const char* text = std::getenv("EDGE_ADMIN_ADDR"); text && *text) {
    admin = config::read_endpoint(text);
    if (!admin) return report(std::string("EDGE_ADMIN_ADDR is no address with a port: ") + text);
  }
  if (!admin) return admin;
  boost::system::error_code error;
  boost::asio::ip::make_address(admin->host, error);
  if (error) return report("the operators' door: not a numeric address: " + admin->host);
  return admin;
}

// Without calls allowed, a request that gathers would wait until its deadline for a permission to call.
bool gathers_without_calls(const operators::OperatorConfig& declared, const config::Config& config) {
  const auto& settings = config.parsed.settings;
  const bool calls_allowed = settings.downstream == Downstream::none || settings.call_quota.value_or(0) > 0;
  return !declared.spec.gathers.empty() && !calls_allowed;
}

ServerOptions read_server_options(const Options& options, const config::Config& config) {
  Server::Options server_options;
  server_options.log = options.log;
  server_options.protect_calls = !options.plain;
  auto declared = read_operator_file(options.operator_file, config);
  if (const auto* status = std::get_if<int>(&declared)) return *status;
  server_options.declared = std::get<std::optional<operators::OperatorConfig>>(std::move(declared));
  auto admin = read_admin_address(config);
  if (const auto* status = std::get_if<int>(&admin)) return *status;
  server_options.admin = std::get<std::optional<config::Endpoint>>(std::move(admin));
  if (const char* text = std::getenv("EDGE_FD"); text && *text) {
    auto listener = net::adopt_inherited_listener(text);
    if (const auto* error = std::get_if<net::InheritedSocketError>(&listener))
      return report("EDGE_FD " + error->text());
    server_options.inherited_listener = std::get<net::FileDescriptor>(std::move(listener));
    if (const char* folder = std::getenv("TMPDIR")) server_options.lease_folder = folder;
  }
  if (server_options.declared && server_options.declared->membership)
    server_options.declared->membership->options.baseline_mode = options.plain_membership;
  if (server_options.declared && gathers_without_calls(*server_options.declared, config))
    return report(
        options.operator_file +
        ": the platform's settings allow no calls: expected downstream none, or a call_share above 0");
  return server_options;
}

// Runs a server until SIGTERM has been answered. Throws where an address can't be had.
void run_server(const char* config_path, config::Config config, const std::string& operator_file,
                Server::Options server_options) {
  boost::asio::io_context context(1);
  // Before the listener opens: a signal must not kill a process that has connections in its backlog.
  boost::asio::signal_set stop_signals(context, SIGTERM, SIGINT);
  boost::asio::signal_set reload_signal(context, SIGHUP);
  Server server(context, std::move(config), std::move(server_options));
  stop_signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) server.drain();
  });
  std::function<void(const boost::system::error_code&, int)> reload = [&](const auto& error, int) {
    if (error) return;
    reload_signal.async_wait(reload);
    server.reload(config::load(config_path));
    if (!operator_file.empty()) server.reload(operators::load(operator_file));
  };
  reload_signal.async_wait(reload);
  server.start();
  context.run();
  // All is answered: a thread that waits for a hung disk must not hold the process until the kill.
  if (server.has_blocked_disk_thread()) std::_Exit(0);
}

int serve(const Options& options) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until it can be handled: unhandled it would end the process
  const char* path = std::getenv("EDGE_CONFIG");
  if (!path) return report("EDGE_CONFIG is not set");
  auto loaded = config::load(path);
  if (const auto* error = std::get_if<config::ConfigError>(&loaded))
    return report(std::string("EDGE_CONFIG ") + path + ": " + error->message());
  auto& config = std::get<config::Config>(loaded);
  auto server_options = read_server_options(options, config);
  if (const auto* status = std::get_if<int>(&server_options)) return *status;
  try {
    run_server(path, std::move(config), options.operator_file,
               std::get<Server::Options>(std::move(server_options)));
  } catch (const AddressError& error) {
    return report(error.what());
  } catch (const std::exception& error) {
    report(error.what());
    return 1;
  }
  return 0;
}

// Asks a process for its view; again and again where it is to be watched.
int members(const std::string& text, bool json, bool watch, bool recovery_report) {
  const auto address = operators::parse_address(text);
  if (!address) {
    std::fprintf(stderr, "granitegap: %s: expected a numeric address and a port, as 127.0.0.1:9101\n",
                 text.c_str());
    return kUnusable;
  }
  for (;;) {
    const auto reply = membership_udp::query_status(*address, std::chrono::seconds(2), recovery_report);
    if (!reply) {
      std::fprintf(stderr, "granitegap: no answer from %s within 2 s\n", text.c_str());
      return 1;
    }
    const auto text_of = recovery_report ? membership_udp::recovery_text : membership_udp::to_text;
    const auto json_of = recovery_report ? membership_udp::recovery_json : membership_udp::to_json;
    std::fputs((json ? json_of(*reply) + "\n" : text_of(*reply)).c_str(), stdout);
    std::fflush(stdout);
    if (!watch) return 0;
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
}

// What a snapshot holds, or that it can't be believed.
int snapshot_file(const std::string& path, bool show) {
  const auto read = snapshot::read_snapshot_file(path);
  if (const auto* error = std::get_if<snapshot::StorageError>(&read)) {
    std::fprintf(stderr, "granitegap: %s: %s\n", path.c_str(), error->message().c_str());
    return 1;
  }
  std::puts(show ? snapshot::to_json(std::get<snapshot::Snapshot>(read)).c_str() : "whole");
  return 0;
}

int run(int argc, char** argv) {
  if (argc == 1) return serve({});  // as the platform starts it
  CLI::App app("A tile server that decides for itself what it takes, runs and turns away.", "granitegap");
  app.set_version_flag("--version", "granitegap " GRANITEGAP_VERSION);
  app.require_subcommand(0, 1);
  app.footer("Alone it serves, as `granitegap serve` does. EDGE_CONFIG names the platform's configuration.");
  Options options;
  const auto add_log = [&](CLI::App& to) {
    to.add_option("--log", options.log, "Form of the log lines")
        ->transform(CLI::CheckedTransformer(
            std::map<std::string, LogFormat>{{"text", LogFormat::text}, {"json", LogFormat::json}}))
        ->option_text("text|json [text]");
  };
  add_log(app);
  auto* serving = app.add_subcommand("serve", "Serve until SIGTERM; SIGHUP reads the files again");
  serving->add_option("--operator", options.operator_file, "The operator's own file; docs/operators-file.md");
  serving->add_flag("--plain-calls", options.plain,
                    "Call without budgets, limits or breakers: only to measure what these are worth");
  serving->add_flag("--plain-membership", options.plain_membership,
                    "Probe without helpers, suspicion or refutation: only to measure what these are worth");
  add_log(*serving);
  std::string file;
  auto* checking =
      app.add_subcommand("check", "Print an operator's file with its defaults, or all that is wrong with it");
  checking->add_option("FILE", file, "The file")->required();
  std::string asked;
  bool json = false, watch = false;
  auto* asking = app.add_subcommand("members", "Show the fleet as the process at ADDRESS sees it");
  auto* returning = app.add_subcommand(
      "recovery", "Show how the process at ADDRESS comes back; docs/recovery-operators.md");
  for (auto* c : {asking, returning}) {
    c->add_option("ADDRESS", asked, "What its operator's file declares as membership.bind")->required();
    c->add_flag("--json", json, "One JSON object");
    c->add_flag("--watch", watch, "Every second, until ended");
  }
  std::string shown;
  auto* snapshots =
      app.add_subcommand("snapshot", "Look at what a process has written down; docs/recovery-operators.md");
  snapshots->require_subcommand(1);
  auto* show = snapshots->add_subcommand("show", "What it holds, as one JSON object");
  auto* verify = snapshots->add_subcommand("verify", "Whether it is whole; exit status 1 if not");
  for (auto* c : {show, verify})
    c->add_option("FILE", shown, "learned-a or learned-b in recovery.folder")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kUnusable;
  }
  if (*snapshots) return snapshot_file(shown, bool(*show));
  if (*asking || *returning) return members(asked, json, watch, bool(*returning));
  return *checking ? check(file) : serve(options);
}

}  // namespace
}  // namespace granitegap

int main(int argc, char** argv) {
  try {
    return granitegap::run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "granitegap: %s\n", error.what());
    return 1;
  }
}
