// One server as a real process beside a stand-in kernel, as the platform starts it, and what the process
// tests of administration, hot restart and shutdown ask of it. Answers and the runs that the kernels count
// decide these tests, never times.
#pragma once
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <optional>
#include <string>

#include "fleet/process_fleet.h"
#include "standin/client.h"

namespace granitegap::fleet {

inline constexpr std::chrono::seconds kPatience{60};  // the longest wait for a condition
inline constexpr char kServer[] = "n0";               // the name of the first process
inline constexpr char kKey[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
inline constexpr char kOtherKey[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30212";
inline const standin::Request kTile{"tile", "x", {}, {}, 20};

// A request with an idempotency key; `est_ms`: its estimated core time.
inline standin::Request keyed_request(const std::string& key, int est_ms = 20) {
  return {"trail-report", "report " + key, key, {}, est_ms};
}

inline bool is_served(const std::optional<standin::Response>& answer) {
  return answer && answer->code == standin::ResponseCode::served;
}
inline bool is_rejected(const std::optional<standin::Response>& answer) {
  return answer && answer->code == standin::ResponseCode::rejected;
}

// Without a fleet and without an operator file.
inline ProcessFleetOptions platform_options() {
  ProcessFleetOptions options;
  options.program = PROGRAM;
  options.size = 1;
  options.with_membership = false;
  options.with_operator_file = false;
  return options;
}

// The same with an admin listener and a client socket that several processes inherit.
inline ProcessFleetOptions hot_restart_options() {
  auto options = platform_options();
  options.admin_listener = true;
  options.inherited_listener = true;
  options.idempotency_window = std::chrono::seconds(600);  // longer than any machine takes for a test
  return options;
}

class ServerProcesses : public ProcessFleet {
 public:
  explicit ServerProcesses(ProcessFleetOptions options) : ProcessFleet(std::move(options)) {}

  // Starts the first process, or starts it again, and waits until it serves.
  void start_serving() {
    start(kServer);
    ASSERT_TRUE(wait_until([&] { return port(kServer) != 0 && is_served(ask()); }, kPatience))
        << log(kServer);
  }
  // The same by the admin listener, without a request.
  void start_healthy() {
    start(kServer);
    wait_until_healthy(kServer);
  }
  // Starts a new process beside the first one, waits until it serves, and returns its name here.
  std::string start_successor() {
    auto successor = start_duplicate(kServer);
    wait_until_healthy(successor);
    return successor;
  }

  std::uint16_t client_port() const { return port(kServer); }
  // One request over a connection of its own.
  std::optional<standin::Response> ask(const standin::Request& request = kTile) const {
    return standin::Client(client_port()).call(request);
  }
  // The same while `stopped` is stopped, so that another process accepts it.
  std::optional<standin::Response> ask_while_stopped(const std::string& stopped,
                                                     const standin::Request& request) {
    pause(stopped);
    auto answer = ask(request);
    resume(stopped);
    return answer;
  }

  // How often a process's kernel ran the request of keyed_request(key).
  int run_count(const std::string& name, const std::string& key) const {
    const auto all = kernel_runs(name);
    const auto run = all.find({"trail-report", "report " + key});
    return run == all.end() ? 0 : run->second;
  }

  void send_signal(int number) { ::kill(pid(kServer), number); }
  bool has_logged(const std::string& name, const std::string& text) const {
    return log(name).find(text) != std::string::npos;
  }
  [[nodiscard]] bool wait_for_log(const std::string& name, const std::string& text) const {
    return wait_until([&] { return has_logged(name, text); }, kPatience);
  }
  void expect_graceful_shutdown(const std::string& name) {
    ASSERT_TRUE(wait_until([&] { return has_exited(name); }, kPatience)) << log(name);
    EXPECT_EQ(exit_status(name), 0) << log(name);
    EXPECT_TRUE(has_logged(name, "left: all answered")) << log(name);
  }

 private:
  void wait_until_healthy(const std::string& name) {
    const auto is_healthy = [&] {
      return admin_port(name) != 0 && admin_command(name, "health") == "OK serving";
    };
    ASSERT_TRUE(wait_until(is_healthy, kPatience)) << log(name);
  }
};

}  // namespace granitegap::fleet
