// What the tests of recovery between real processes share: fleets with `recovery` declared, and the requests
// that they send. Every wait ends at kLong.
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

inline constexpr auto kLong = 60s;

inline ProcessFleetOptions options(const std::string& recovery) {
  ProcessFleetOptions o;
  o.program = PROGRAM;
  o.clock_shift_library = CLOCK_LIBRARY;
  o.size = 1;
  o.membership_fields = "period: 200ms";
  o.operator_file = "dependencies: []\ngathers: []\n" + recovery + "\n";
  o.idempotency_window = 1s;
  return o;
}
inline constexpr char kWait[] = "recovery: {}";
inline constexpr char kFolder[] = "recovery: {folder: \"@FOLDER\"}";

struct Trial : ProcessFleet {
  explicit Trial(ProcessFleetOptions o) : ProcessFleet(std::move(o)) {}
  void up(const std::string& name = "n0") {
    start(name);
    ready(name);
  }
  void ready(const std::string& name = "n0") {
    ASSERT_TRUE(wait_until([&] { return port(name) != 0 && answers(name); }, kLong)) << log(name);
  }
  // Reads are served: the kernel is up.
  bool answers(const std::string& name) {
    Client c(port(name));
    const auto a = c.call({"tile", "x", {}, {}, 20});
    return a && a->code == standin::ResponseCode::served;
  }
  std::optional<standin::Response> report(const std::string& token, const std::string& name = "n0") {
    return Client(port(name), 2).call({"trail-report", "report " + token, token, {}, 20});
  }
  // Again and again until it is not refused, as a caller that heeds backoff would.
  std::optional<standin::Response> insist(const std::string& token) {
    std::optional<standin::Response> last;
    wait_until(
        [&] {
          last = report(token);
          return last && last->code != standin::ResponseCode::rejected;
        },
        kLong);
    return last;
  }
  int ran(const std::string& token, const std::string& name = "n0") {
    const auto all = kernel_runs(name);
    const auto it = all.find({"trail-report", "report " + token});
    return it == all.end() ? 0 : it->second;
  }
  bool says(const std::string& line, const std::string& name = "n0") {
    return log(name).find(line) != std::string::npos;
  }
};

inline constexpr char kToken[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
                      kOther[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30212";

struct Ways : Trial {
  explicit Ways(std::size_t size, const std::string& fields = "") : Trial(made(size, fields)) {}
  Ways(std::size_t size, ProcessFleetOptions o) : Trial((o.size = size, o)) {}
  static ProcessFleetOptions made(std::size_t size, const std::string& fields) {
    auto o = options(std::string("recovery: {after_lost_memory: \"go_on\", calm_for: 300ms, ") +
                     (fields.find("growth") == fields.npos ? "first: 0.4, growth: 3, " : "") + fields + "}");
    o.size = size;
    o.run_cost = 5ms;
    return o;
  }
  std::optional<membership_udp::RecoveryReport> way(const std::string& name) const {
    const auto r = membership_udp::query_status(bound(name), 2s, true);
    return r ? r->recovery_report : std::nullopt;
  }
  bool in_service(const std::string& name) const {
    const auto w = way(name);
    return w && w->phase == "full";
  }
  // Nobody is asked any more. From how many it has learned is a matter of pace: on a starved machine a
  // newcomer may not have met more than one when it goes on.
  bool has_learned(const std::string& name) const {
    return wait_until(
        [&] {
          const auto w = way(name);
          return w && w->phase != "blank" && w->phase != "learning";
        },
        kLong);
  }
  // Asked by callers in the meantime, so that each has something to prove.
  bool all_in_service() {
    return wait_until(
        [&] {
          bool all = true;
          for (const auto& name : running()) {
            if (in_service(name)) continue;
            all = false;
            for (int k = 0; k < 3 && port(name) != 0; ++k) answers(name);
          }
          return all;
        },
        kLong);
  }
  void form() {
    start_all();
    ASSERT_TRUE(wait_until([&] { return has_converged(); }, kLong)) << describe();
    ASSERT_TRUE(all_in_service()) << describe();
    // Each knows of all others that they may be asked.
    ASSERT_TRUE(wait_until(
        [&] {
          for (const auto& name : running()) {
            const auto v = view(name);
            if (!v) return false;
            for (const auto& l : v->members)
              if (l.recovery_status.donor_port == 0 || l.recovery_status.full_service_ms == 0) return false;
          }
          return true;
        },
        kLong))
        << describe();
  }
};

}  // namespace granitegap::fleet
