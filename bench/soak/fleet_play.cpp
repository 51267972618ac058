#include "fleet_play.h"

#include <algorithm>
#include <fstream>
#include <thread>

#include "standin/client.h"

namespace granitegap::soak {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto kWaitTimeout = 60s;
constexpr auto kPollInterval = 20ms;
constexpr auto kAnswerTimeout = 20s;  // well above each deadline in the platform's settings
constexpr auto kBusyTimeLimit = 120s;
constexpr char kGatherClass[] = "route-profile";

standin::Script dependency_script(std::chrono::milliseconds latency) {
  standin::Phase phase;
  phase.distribution = standin::LatencyDistribution::uniform;
  phase.spread = 0.5;
  phase.latency = latency;
  return {{phase}, {}};
}

std::string operator_file(const FleetHarnessOptions& options, std::uint16_t port) {
  std::string text =
      "dependencies: [{name: \"e.example.org\", endpoints: [\"127.0.0.1:" + std::to_string(port) +
      "\"], fleet_open: " + std::to_string(options.fleet_limit);
  if (options.fleet_fill) text += ", fleet_fill: true";
  text += "}]\ngathers: [{class: \"" + std::string(kGatherClass) +
          "\", budget: 2s, parts: [{name: \"e\", from: \"e.example.org\", path: \"/e?r={body}\", fresh_for: "
          "10m}]}]\n";
  text += "recovery: {after_lost_memory: \"go_on\", calm_for: 300ms, first: 0.4, growth: 3";
  if (options.stored_state) text += ", folder: \"@FOLDER\", snapshot_every: 500ms";
  return text + "}\n";
}

fleet::ProcessFleetOptions fleet_options(const FleetHarnessOptions& options, std::uint16_t port) {
  fleet::ProcessFleetOptions fleet;
  fleet.program = options.program;
  fleet.size = options.members;
  fleet.seed = options.seed;
  fleet.membership_fields = "period: 200ms";
  fleet.operator_file = operator_file(options, port);
  fleet.run_cost = 1ms;
  return fleet;
}

// Each member may have one call open even if the fleet has more members than the limit allows calls.
std::size_t effective_limit(const FleetHarnessOptions& options) {
  return std::max<std::size_t>(options.fleet_limit, options.members);
}

}  // namespace

FleetHarness::FleetHarness(FleetHarnessOptions options)
    : options_(std::move(options)),
      meter_(effective_limit(options_)),
      dependency_(dependency_script(options_.dependency_latency), options_.seed,
                  [this](std::size_t open) { meter_.report(open); }),
      fleet_(fleet_options(options_, dependency_.port())) {}

FleetHarness::~FleetHarness() = default;

void FleetHarness::form_fleet() {
  for (std::size_t member = 0; member + options_.late_joiners < size(); ++member)
    fleet_.start(member_name(member));
  const bool formed = fleet_.wait_until([this] { return fleet_.has_converged(); }, kWaitTimeout);
  if (!formed) violations_.push_back({Rule::not_converged, "the fleet did not form"});
  CallerOptions callers;
  callers.members = size();
  callers.cls = kGatherClass;
  callers.answer_timeout = kAnswerTimeout;
  callers_ = std::make_unique<CallerPool>(callers);
  update_ports();
  if (options_.busy_processes > 0)
    busy_ = std::make_unique<BusyProcesses>(options_.busy_processes, kBusyTimeLimit);
}

void FleetHarness::start(std::size_t member) {
  fleet_.start(member_name(member));
  callers_->expect_responses(member);
}

void FleetHarness::kill(std::size_t member) {
  may_be_declared_dead_.insert(member);
  callers_->expect_termination(member);
  fleet_.kill(member_name(member));
  callers_->set_port(member, 0);
}

void FleetHarness::terminate(std::size_t member) {
  may_be_declared_dead_.insert(member);
  callers_->expect_termination(member);
  fleet_.terminate(member_name(member));
  fleet_.wait_until([&] { return fleet_.has_exited(member_name(member)); }, kWaitTimeout);
  callers_->set_port(member, 0);
}

void FleetHarness::pause(std::size_t member, PauseLength length) {
  if (length == PauseLength::longer_than_suspicion) may_be_declared_dead_.insert(member);
  fleet_.pause(member_name(member));
}

void FleetHarness::resume(std::size_t member) { fleet_.resume(member_name(member)); }

void FleetHarness::partition(const std::vector<std::size_t>& one_side) {
  std::set<std::size_t> side(one_side.begin(), one_side.end()), other;
  for (std::size_t member = 0; member < size(); ++member)
    if (!side.contains(member)) other.insert(member);
  fleet::ProcessFleet::Names from, to;
  for (const auto member : side) from.insert(member_name(member));
  for (const auto member : other) to.insert(member_name(member));
  fleet_.partition(from, to, true);
  if (side.size() * 2 > size()) may_be_declared_dead_.insert(other.begin(), other.end());
  if (other.size() * 2 > size()) may_be_declared_dead_.insert(side.begin(), side.end());
}

void FleetHarness::update_ports() {
  const auto running = fleet_.running();
  for (std::size_t member = 0; member < size(); ++member)
    if (running.contains(member_name(member))) callers_->set_port(member, fleet_.port(member_name(member)));
}

void FleetHarness::run_for(std::chrono::milliseconds time) {
  const auto end = Clock::now() + time;
  while (Clock::now() < end) {
    update_ports();
    std::this_thread::sleep_for(kPollInterval);
  }
}

bool FleetHarness::serves(std::size_t member) {
  const auto port = fleet_.port(member_name(member));
  if (port == 0) return false;
  standin::Client client(port);
  const auto response = client.call({"tile", "x", {}, {}, 1});
  return response && response->code == standin::ResponseCode::served;
}

void FleetHarness::wait_until_serving(std::size_t member) {
  const bool serving = fleet_.wait_until(
      [&] {
        update_ports();
        return serves(member);
      },
      kWaitTimeout);
  if (!serving)
    violations_.push_back({Rule::member_serves_nobody, member_name(member) + " does not come back"});
}

void FleetHarness::finish(SeedReport& report) {
  fleet_.heal_all();
  const bool converged = fleet_.wait_until(
      [this] {
        update_ports();
        return fleet_.has_converged();
      },
      kWaitTimeout);
  if (!converged) violations_.push_back({Rule::not_converged, "views differ after the faults"});
  run_for(500ms);
  callers_->stop();
  check_service();
  check_declared_deaths();

  const auto calls = meter_.figures();
  const auto requests = callers_->figures();
  const auto over_ms = std::chrono::duration<double, std::milli>(calls.over).count();
  if (calls.max_open > meter_.limit()) {
    violations_.push_back({Rule::fleet_limit_exceeded, std::to_string(calls.max_open) + " calls open of " +
                                                           std::to_string(meter_.limit()) + ", over for " +
                                                           std::to_string(over_ms) + " ms in all"});
  }
  if (requests.unanswered > 0)
    violations_.push_back({Rule::request_unanswered, std::to_string(requests.unanswered) + " requests"});
  report.figures = {calls.max_open,    meter_.limit(),      calls.times_over,
                    over_ms,           requests.answered,   requests.served,
                    requests.complete, requests.unanswered, requests.interrupted};
  report.violations = violations_;
  if (!report.violations.empty()) save_logs(report);
}

void FleetHarness::check_service() {
  for (const auto& name : fleet_.running()) {
    const auto member = std::size_t(std::stoul(name.substr(1)));
    if (!fleet_.wait_until([&] { return serves(member); }, kWaitTimeout))
      violations_.push_back({Rule::member_serves_nobody, name});
  }
}

void FleetHarness::check_declared_deaths() {
  for (std::size_t member = 0; member < size(); ++member) {
    if (may_be_declared_dead_.contains(member)) continue;
    for (const auto& observer : fleet_.names()) {
      const auto deaths =
          fleet_.count_in_log(observer, "membership: " + member_name(member) + " is declared dead");
      if (deaths == 0) continue;
      violations_.push_back({Rule::member_held_dead, member_name(member) + " by " + observer + ", " +
                                                         std::to_string(deaths) + " times, though it lived"});
    }
  }
}

void FleetHarness::save_logs(SeedReport& report) const {
  const auto folder = options_.log_folder / (report.scenario + "-" + std::to_string(report.seed));
  std::filesystem::create_directories(folder);
  for (const auto& name : fleet_.names()) std::ofstream(folder / (name + ".log")) << fleet_.log(name);
  report.logs = folder.string();
}

}  // namespace granitegap::soak
