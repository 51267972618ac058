// Support for the process tests of recovery: fleets whose operator file contains `recovery`, and the requests
// that the tests send to them. Every wait ends after kConditionTimeout.
#pragma once
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include "fleet/process_fleet.h"
#include "snapshot/directory_lock.h"
#include "snapshot/snapshot_files.h"
#include "standin/client.h"
#include "standin/dependency.h"

namespace granitegap::fleet {

using namespace std::chrono_literals;
using standin::Client;
using standin::Request;

inline constexpr auto kConditionTimeout = 60s;  // maximum wait for a condition

// Returns the options of a fleet of one process with the line `recovery` in its operator file.
inline ProcessFleetOptions recovery_options(const std::string& recovery) {
  ProcessFleetOptions options;
  options.program = PROGRAM;
  options.clock_shift_library = CLOCK_LIBRARY;
  options.size = 1;
  options.membership_fields = "period: 200ms";
  options.operator_file = "dependencies: []\ngathers: []\n" + recovery + "\n";
  options.idempotency_window = 1s;
  return options;
}
inline constexpr char kDefaultRecovery[] = "recovery: {}";
inline constexpr char kRecoveryWithFolder[] = "recovery: {folder: \"@FOLDER\"}";

inline constexpr char kKey[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
                      kOtherKey[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30212";

// A fleet of processes that recover after a restart.
struct RecoveryFleet : ProcessFleet {
  explicit RecoveryFleet(ProcessFleetOptions options) : ProcessFleet(std::move(options)) {}
  // Starts or restarts a process and waits until it serves reads.
  void start_serving(const std::string& name = "n0") {
    start(name);
    wait_until_serving(name);
  }
  void wait_until_serving(const std::string& name = "n0") {
    ASSERT_TRUE(wait_until([&] { return port(name) != 0 && serves_reads(name); }, kConditionTimeout))
        << log(name);
  }
  // Sends a request without a key. It is served only if the kernel is running.
  bool serves_reads(const std::string& name) {
    Client client(port(name));
    const auto response = client.call({"tile", "x", {}, {}, 20});
    return response && response->code == standin::ResponseCode::served;
  }
  // Sends one request with the idempotency key `key`.
  std::optional<standin::Response> send_report(const std::string& key, const std::string& name = "n0") {
    return Client(port(name), 2).call({"trail-report", "report " + key, key, {}, 20});
  }
  // Repeats send_report() until the request is not rejected, as a caller does that honours the retry hint.
  std::optional<standin::Response> send_report_until_accepted(const std::string& key) {
    std::optional<standin::Response> last;
    wait_until(
        [&] {
          last = send_report(key);
          return last && last->code != standin::ResponseCode::rejected;
        },
        kConditionTimeout);
    return last;
  }
  // Returns how often the kernel of the process `name` ran the request of send_report(key).
  int run_count(const std::string& key, const std::string& name = "n0") {
    const auto counts = kernel_runs(name);
    const auto entry = counts.find({"trail-report", "report " + key});
    return entry == counts.end() ? 0 : entry->second;
  }
  bool has_logged(const std::string& text, const std::string& name = "n0") {
    return log(name).find(text) != std::string::npos;
  }
};

// A fleet without a restart quarantine, with settings for a short slow start.
struct SlowStartFleet : RecoveryFleet {
  explicit SlowStartFleet(std::size_t size, const std::string& fields = "")
      : RecoveryFleet(slow_start_options(size, fields)) {}
  SlowStartFleet(std::size_t size, ProcessFleetOptions options)
      : RecoveryFleet((options.size = size, options)) {}
  // `fields` are further fields of `recovery`. With `growth` among them, the ramp is not set here.
  static ProcessFleetOptions slow_start_options(std::size_t size, const std::string& fields) {
    auto options = recovery_options(
        std::string("recovery: {after_lost_memory: \"go_on\", calm_for: 300ms, ") +
        (fields.find("growth") == fields.npos ? "first: 0.4, growth: 3, " : "") + fields + "}");
    options.size = size;
    options.run_cost = 5ms;
    return options;
  }
  std::optional<membership_udp::RecoveryReport> recovery_report(const std::string& name) const {
    const auto status = membership_udp::query_status(bound(name), 2s, true);
    return status ? status->recovery_report : std::nullopt;
  }
  bool in_full_service(const std::string& name) const {
    const auto report = recovery_report(name);
    return report && report->phase == "full";
  }
  // Waits until the process no longer queries donors. The number of donors that answered depends on the
  // speed of the machine: on a starved one a recovering process may know only one member when it goes on.
  bool wait_until_transfer_ended(const std::string& name) const {
    return wait_until(
        [&] {
          const auto report = recovery_report(name);
          return report && report->phase != "blank" && report->phase != "learning";
        },
        kConditionTimeout);
  }
  // Sends requests to each recovering process meanwhile: the ramp grows only with served requests.
  bool wait_until_all_in_full_service() {
    return wait_until(
        [&] {
          bool all = true;
          for (const auto& name : running()) {
            if (in_full_service(name)) continue;
            all = false;
            for (int k = 0; k < 3 && port(name) != 0; ++k) serves_reads(name);
          }
          return all;
        },
        kConditionTimeout);
  }
  // Starts all processes and waits until each is in full service and has every other as a possible donor.
  void start_converged() {
    start_all();
    ASSERT_TRUE(wait_until([&] { return has_converged(); }, kConditionTimeout)) << describe();
    ASSERT_TRUE(wait_until_all_in_full_service()) << describe();
    ASSERT_TRUE(wait_until([&] { return all_donors_known(); }, kConditionTimeout)) << describe();
  }

 private:
  bool all_donors_known() const {
    for (const auto& name : running()) {
      const auto members = view(name);
      if (!members) return false;
      for (const auto& member : members->members)
        if (member.recovery_status.donor_port == 0 || member.recovery_status.full_service_ms == 0)
          return false;
    }
    return true;
  }
};

}  // namespace granitegap::fleet
