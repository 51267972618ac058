// The program `granitegap`: command line, configuration, signals and exit status of a tile server.
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
#include "posix/signal_mask.h"
#include "server/server.h"
#include "snapshot/snapshot_files.h"
#include "snapshot/snapshot_json.h"

namespace granitegap {
namespace {

// Exit status for unusable arguments, configuration or addresses.
constexpr int kUsageError = 2;

struct Options {
  std::string operator_file;
  LogFormat log = LogFormat::text;
  bool plain = false, plain_membership = false;
};

// Prints one line for each error; returns the exit status.
int print_errors(const operators::Errors& errors) {
  for (const auto& e : errors) std::fprintf(stderr, "%s\n", e.text().c_str());
  return kUsageError;
}

// Prints the operator file with its defaults, or its errors; returns the exit status.
int check_operator_file(const std::string& path) {
  auto loaded = operators::load(path);
  if (const auto* errors = std::get_if<operators::Errors>(&loaded)) return print_errors(*errors);
  auto& operator_config = std::get<operators::OperatorConfig>(loaded);
  // Its classes are checked against the platform's settings if these are available.
  if (const char* config_path = std::getenv("EDGE_CONFIG")) {
    const auto config = config::load(config_path);
    if (const auto* error = std::get_if<config::ConfigError>(&config)) {
      std::fprintf(stderr, "granitegap: EDGE_CONFIG %s: %s\n", config_path, error->message().c_str());
      return kUsageError;
    }
    if (const auto errors =
            operators::resolve_classes(operator_config, std::get<config::Config>(config).catalog);
        !errors.empty())
      return print_errors(errors);
  }
  std::fputs(typed_config::print(operator_config.values).c_str(), stdout);
  return 0;
}

// Prints an error message; returns the exit status.
int report_error(const std::string& message) {
  std::fprintf(stderr, "granitegap: %s\n", message.c_str());
  return kUsageError;
}

// Options of a Server, or the exit status after an error has been printed.
using ServerOptions = std::variant<Server::Options, int>;

// Reads the operator file and checks it against the platform's settings. Returns nullopt if `path` is empty,
// and the exit status after an error.
std::variant<std::optional<operators::OperatorConfig>, int> read_operator_file(const std::string& path,
                                                                               const config::Config& config) {
  if (path.empty()) return std::optional<operators::OperatorConfig>{};
  auto loaded = operators::load(path);
  if (const auto* errors = std::get_if<operators::Errors>(&loaded)) return print_errors(*errors);
  auto& declared = std::get<operators::OperatorConfig>(loaded);
  if (const auto errors = operators::resolve_classes(declared, config.catalog); !errors.empty())
    return print_errors(errors);
  return std::optional(std::move(declared));
}

// Returns the address of the admin listener, nullopt if none is configured, or the exit status after an
// error. The environment takes precedence over the file, because two processes may share one file.
std::variant<std::optional<config::Endpoint>, int> read_admin_address(const config::Config& config) {
  auto admin = config.admin;
  if (const char* text = std::getenv("EDGE_ADMIN_ADDR"); text && *text) {
    admin = config::read_endpoint(text);
    if (!admin)
      return report_error(std::string("EDGE_ADMIN_ADDR: expected an address and a port, got ") + text);
  }
  if (!admin) return admin;
  boost::system::error_code error;
  boost::asio::ip::make_address(admin->host, error);
  if (error) return report_error("admin listener: expected a numeric address, got " + admin->host);
  return admin;
}

// Whether the operator file declares gathers although the settings allow no calls. A request with a gather
// would then wait until its deadline for permission to call.
bool gathers_without_calls(const operators::OperatorConfig& declared, const config::Config& config) {
  const auto& settings = config.parsed.settings;
  const bool calls_allowed = settings.downstream == Downstream::none || settings.call_quota.value_or(0) > 0;
  return !declared.spec.gathers.empty() && !calls_allowed;
}

ServerOptions read_server_options(const Options& options, const config::Config& config) {
  Server::Options server_options;
  server_options.log = options.log;
  server_options.protect_calls = !options.plain;
  auto operator_config = read_operator_file(options.operator_file, config);
  if (const auto* status = std::get_if<int>(&operator_config)) return *status;
  server_options.operator_config =
      std::get<std::optional<operators::OperatorConfig>>(std::move(operator_config));
  auto admin = read_admin_address(config);
  if (const auto* status = std::get_if<int>(&admin)) return *status;
  server_options.admin = std::get<std::optional<config::Endpoint>>(std::move(admin));
  if (const char* text = std::getenv("EDGE_FD"); text && *text) {
    auto listener = net::adopt_inherited_listener(text);
    if (const auto* error = std::get_if<net::InheritedSocketError>(&listener))
      return report_error("EDGE_FD " + error->text());
    server_options.inherited_listener = std::get<net::FileDescriptor>(std::move(listener));
    if (const char* directory = std::getenv("TMPDIR")) server_options.lease_directory = directory;
  }
  if (server_options.operator_config && server_options.operator_config->membership)
    server_options.operator_config->membership->options.baseline_mode = options.plain_membership;
  if (server_options.operator_config && gathers_without_calls(*server_options.operator_config, config))
    return report_error(
        options.operator_file +
        ": gathers need calls, which the platform's settings do not allow: expected downstream "
        "none, or a call_share above 0");
  return server_options;
}

// Runs a server until its graceful shutdown after SIGTERM or SIGINT. SIGHUP must be blocked at the
// call: one that has arrived since the configuration was read reloads it. Throws if an address cannot be
// used.
void run_server(const char* config_path, config::Config config, const std::string& operator_file,
                Server::Options server_options) {
  boost::asio::io_context context(1);
  // Installed before the listener opens, so that a signal cannot kill a process with connections in its
  // backlog.
  boost::asio::signal_set stop_signals(context, SIGTERM, SIGINT);
  boost::asio::signal_set reload_signal(context, SIGHUP);
  posix::unblock_signal(SIGHUP);  // kept by the signal set until async_wait() below
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
  // All requests are answered. A thread that is blocked by a hung disk must not delay the exit until the
  // platform kills the process.
  if (server.has_blocked_disk_thread()) std::_Exit(0);
}

// Runs the server as the environment and `options` configure it; returns the exit status.
int serve(const Options& options) {
  std::signal(SIGPIPE, SIG_IGN);
  // Until its handler is installed: by default it ends the process, and ignored it would be lost although the
  // configuration has been read already.
  posix::block_signal(SIGHUP);
  const char* path = std::getenv("EDGE_CONFIG");
  if (!path) return report_error("EDGE_CONFIG is not set");
  auto loaded = config::load(path);
  if (const auto* error = std::get_if<config::ConfigError>(&loaded))
    return report_error(std::string("EDGE_CONFIG ") + path + ": " + error->message());
  auto& config = std::get<config::Config>(loaded);
  auto server_options = read_server_options(options, config);
  if (const auto* status = std::get_if<int>(&server_options)) return *status;
  try {
    run_server(path, std::move(config), options.operator_file,
               std::get<Server::Options>(std::move(server_options)));
  } catch (const AddressError& error) {
    return report_error(error.what());
  } catch (const std::exception& error) {
    report_error(error.what());
    return 1;
  }
  return 0;
}

// Prints the membership view or the recovery status of the process at `text`, every second with `watch`.
// Returns the exit status.
int show_status(const std::string& text, bool json, bool watch, bool recovery_report) {
  const auto address = operators::parse_address(text);
  if (!address) {
    std::fprintf(stderr, "granitegap: %s: expected a numeric address and a port, as 127.0.0.1:9101\n",
                 text.c_str());
    return kUsageError;
  }
  for (;;) {
    const auto reply = membership_udp::query_status(*address, std::chrono::seconds(2), recovery_report);
    if (!reply) {
      std::fprintf(stderr, "granitegap: no answer from %s within 2 s\n", text.c_str());
      return 1;
    }
    const auto format_text = recovery_report ? membership_udp::recovery_text : membership_udp::to_text;
    const auto format_json = recovery_report ? membership_udp::recovery_json : membership_udp::to_json;
    std::fputs((json ? format_json(*reply) + "\n" : format_text(*reply)).c_str(), stdout);
    std::fflush(stdout);
    if (!watch) return 0;
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
}

// Prints the content of a snapshot file (with `show`), or "whole" if the file is valid. Returns the exit
// status.
int show_snapshot(const std::string& path, bool show) {
  const auto read = snapshot::read_snapshot_file(path);
  if (const auto* error = std::get_if<snapshot::StorageError>(&read)) {
    std::fprintf(stderr, "granitegap: %s: %s\n", path.c_str(), error->message().c_str());
    return 1;
  }
  std::puts(show ? snapshot::to_json(std::get<snapshot::Snapshot>(read)).c_str() : "whole");
  return 0;
}

int run(int argc, char** argv) {
  if (argc == 1) return serve({});  // the platform starts the program without arguments
  CLI::App app("A tile server with built-in admission control.", "granitegap");
  app.set_version_flag("--version", "granitegap " GRANITEGAP_VERSION);
  app.require_subcommand(0, 1);
  app.footer(
      "Without a subcommand it runs `granitegap serve`. EDGE_CONFIG names the platform's configuration "
      "file.");
  Options options;
  const auto add_log = [&](CLI::App& to) {
    to.add_option("--log", options.log, "Format of the log lines")
        ->transform(CLI::CheckedTransformer(
            std::map<std::string, LogFormat>{{"text", LogFormat::text}, {"json", LogFormat::json}}))
        ->option_text("text|json [text]");
  };
  add_log(app);
  auto* serve_command = app.add_subcommand("serve", "Serve until SIGTERM; SIGHUP reloads the files");
  serve_command->add_option("--operator", options.operator_file,
                            "The operator file; see docs/operators-file.md");
  serve_command->add_flag(
      "--plain-calls", options.plain,
      "Call dependencies without budgets, limits or breakers: only as a baseline for benchmarks");
  serve_command->add_flag(
      "--plain-membership", options.plain_membership,
      "Probe without indirect pings, suspicion or refutation: only as a baseline for benchmarks");
  add_log(*serve_command);
  std::string file;
  auto* check_command =
      app.add_subcommand("check", "Print an operator file with its defaults, or all its errors");
  check_command->add_option("FILE", file, "The operator file")->required();
  std::string member_address;
  bool json = false, watch = false;
  auto* members_command = app.add_subcommand("members", "Show the fleet as the process at ADDRESS sees it");
  auto* recovery_command = app.add_subcommand(
      "recovery",
      "Show the recovery of the process at ADDRESS after a restart; see docs/recovery-operators.md");
  for (auto* c : {members_command, recovery_command}) {
    c->add_option("ADDRESS", member_address, "The address that its operator file declares as membership.bind")
        ->required();
    c->add_flag("--json", json, "Print one JSON object");
    c->add_flag("--watch", watch, "Repeat every second until interrupted");
  }
  std::string snapshot_path;
  auto* snapshot_command = app.add_subcommand(
      "snapshot", "Inspect the snapshot files of a process; see docs/recovery-operators.md");
  snapshot_command->require_subcommand(1);
  auto* show_command = snapshot_command->add_subcommand("show", "Print its content as one JSON object");
  auto* verify_command =
      snapshot_command->add_subcommand("verify", "Check that it is valid; exit status 1 if not");
  for (auto* c : {show_command, verify_command})
    c->add_option("FILE", snapshot_path, "learned-a or learned-b in recovery.folder")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kUsageError;
  }
  if (*snapshot_command) return show_snapshot(snapshot_path, bool(*show_command));
  if (*members_command || *recovery_command)
    return show_status(member_address, json, watch, bool(*recovery_command));
  return *check_command ? check_operator_file(file) : serve(options);
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
