// Support for the process tests of administration, hot restart and shutdown: starts servers as real
// processes, each with a stand-in kernel, as the platform does. These tests check responses and the runs
// counted by the kernels, never durations.
#pragma once
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <optional>
#include <string>

#include "fleet/process_fleet.h"
#include "standin/client.h"

namespace granitegap::fleet {

inline constexpr std::chrono::seconds kConditionTimeout{60};  // maximum wait for a condition
inline constexpr char kServer[] = "n0";                       // the name of the first process
inline constexpr char kKey[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
inline constexpr char kOtherKey[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30212";
// What a process logs when it is told to stop, and when it hands over at that.
inline constexpr char kShutdownMessage[] = "shutdown requested";
inline constexpr char kHandoverMessage[] = "handing over to another process on the same socket";
inline const standin::Request kTile{"tile", "x", {}, {}, 20};

// Returns a request with an idempotency key and an estimated core time of `est_ms`.
inline standin::Request keyed_request(const std::string& key, int est_ms = 20) {
  return {"trail-report", "report " + key, key, {}, est_ms};
}

inline bool is_served(const std::optional<standin::Response>& response) {
  return response && response->code == standin::ResponseCode::served;
}
inline bool is_rejected(const std::optional<standin::Response>& response) {
  return response && response->code == standin::ResponseCode::rejected;
}

// Options of one server without a fleet and without an operator file.
inline ProcessFleetOptions platform_options() {
  ProcessFleetOptions options;
  options.program = PROGRAM;
  options.size = 1;
  options.with_membership = false;
  options.with_operator_file = false;
  return options;
}

// platform_options() with an admin listener and a client socket that several processes inherit.
inline ProcessFleetOptions hot_restart_options() {
  auto options = platform_options();
  options.admin_listener = true;
  options.inherited_listener = true;
  options.idempotency_window = std::chrono::seconds(600);  // longer than a test takes on any machine
  return options;
}

class ServerProcesses : public ProcessFleet {
 public:
  explicit ServerProcesses(ProcessFleetOptions options) : ProcessFleet(std::move(options)) {}

  // Starts or restarts the first process and waits until it serves a request.
  void start_serving() {
    start(kServer);
    ASSERT_TRUE(
        wait_until([&] { return port(kServer) != 0 && is_served(send_request()); }, kConditionTimeout))
        << log(kServer);
  }
  // Starts or restarts the first process and waits until the admin listener reports that it serves.
  void start_healthy() {
    start(kServer);
    wait_until_healthy(kServer);
  }
  // Starts another process on the same socket, waits until it serves, and returns its name in this object.
  std::string start_successor() {
    auto successor = start_duplicate(kServer);
    wait_until_healthy(successor);
    return successor;
  }

  std::uint16_t client_port() const { return port(kServer); }
  // Sends one request over a new connection.
  std::optional<standin::Response> send_request(const standin::Request& request = kTile) const {
    return standin::Client(client_port()).call(request);
  }
  // Sends one request while the process `stopped` is paused, so that another process accepts it.
  std::optional<standin::Response> send_request_while_stopped(const std::string& stopped,
                                                              const standin::Request& request) {
    pause(stopped);
    auto response = send_request(request);
    resume(stopped);
    return response;
  }

  // Returns how often the kernel of the process `name` ran the request of keyed_request(key).
  int run_count(const std::string& name, const std::string& key) const {
    const auto counts = kernel_runs(name);
    const auto entry = counts.find({"trail-report", "report " + key});
    return entry == counts.end() ? 0 : entry->second;
  }

  void send_signal(int number) { ::kill(pid(kServer), number); }
  bool has_logged(const std::string& name, const std::string& text) const {
    return log(name).find(text) != std::string::npos;
  }
  [[nodiscard]] bool wait_for_log(const std::string& name, const std::string& text) const {
    return wait_until([&] { return has_logged(name, text); }, kConditionTimeout);
  }
  void expect_graceful_shutdown(const std::string& name) {
    ASSERT_TRUE(wait_until([&] { return has_exited(name); }, kConditionTimeout)) << log(name);
    EXPECT_EQ(exit_status(name), 0) << log(name);
    EXPECT_TRUE(has_logged(name, "stopped: all requests answered")) << log(name);
  }

 private:
  void wait_until_healthy(const std::string& name) {
    const auto is_healthy = [&] {
      return admin_port(name) != 0 && admin_command(name, "health") == "OK serving";
    };
    ASSERT_TRUE(wait_until(is_healthy, kConditionTimeout)) << log(name);
  }
};

}  // namespace granitegap::fleet
