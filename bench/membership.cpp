// Membership between real processes behind a stand-in network.
//
//   granitegap_bench_membership [--scenario FILE] [--seed N] [--size N] [--program PATH]
//
// Scenarios are records (bench/scenarios/membership_*.cue; schema: bench/membership.schema.cue). Each is run
// with `guarded` and `plain` membership (fixed timeouts, direct pings, no refutation) under the same rules
// and seed. The views of all processes are polled; how long a status has stood is what a process itself
// reports, so that polling adds nothing to a time. The last line is one JSON object.
//
// `false_dead`: pairs in which a process was held dead that lived and was neither paused nor cut off, each
// once a time, where a paused one counts again eight seconds after it resumed; `flaps`: the same with
// suspect. `detect_*`: from the kill or partition to when each of the others no longer held it alive;
// `agree_ms`: until all held it dead. `rejoin_ms`: from the end of the fault to one view of all.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <exception>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "fleet/process_fleet.h"
#include "membership_fault.h"
#include "membership_figures.h"
#include "membership_scenario.h"
#include "quantile.h"

namespace granitegap::bench {
namespace {

using fleet::ProcessFleet;
using membership::Status;
using Json = nlohmann::ordered_json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr std::size_t kPollThreads = 3;
constexpr auto kPollTimeout = 500ms;
constexpr auto kPollInterval = 100ms;  // polling must not be what is measured
constexpr auto kFormTimeout = 60s;
constexpr auto kSettleTime = 3s;           // after the fleet has formed
constexpr auto kRejoinTimeout = 30s;       // after the scenario's end
constexpr int kFieldsBeforeUserTime = 11;  // of /proc/PID/stat, after the command's name

double seconds_between(Clock::time_point from, Clock::time_point to) {
  return std::chrono::duration<double>(to - from).count();
}

// Processor time of all processes together, and memory of the largest.
struct ResourceUsage {
  double cpu_s = 0, rss_mb = 0;
};

double cpu_seconds(int pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  const std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int k = 0; k < kFieldsBeforeUserTime; ++k) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  return (user + system) / double(::sysconf(_SC_CLK_TCK));
}

double resident_mb(int pid) {
  constexpr std::string_view kField = "VmRSS:";
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(kField)) return std::stod(line.substr(kField.size())) / 1024;
  return 0;
}

ResourceUsage resource_usage(const ProcessFleet& fleet) {
  ResourceUsage usage;
  for (const auto& name : fleet.running()) {
    const auto pid = fleet.pid(name);
    usage.cpu_s += cpu_seconds(pid);
    usage.rss_mb = std::max(usage.rss_mb, resident_mb(pid));
  }
  return usage;
}

// The views of all running processes, polled on several threads.
MembershipViews poll_views(const ProcessFleet& fleet) {
  const auto running = fleet.running();
  const std::vector<std::string> names(running.begin(), running.end());
  std::vector<std::optional<membership_udp::StatusReply>> replies(names.size());
  std::vector<std::thread> threads;
  for (std::size_t t = 0; t < kPollThreads; ++t)
    threads.emplace_back([&, t] {
      for (auto i = t; i < names.size(); i += kPollThreads) replies[i] = fleet.view(names[i], kPollTimeout);
    });
  for (auto& thread : threads) thread.join();
  MembershipViews views;
  for (std::size_t i = 0; i < names.size(); ++i)
    if (replies[i]) views[names[i]] = std::move(*replies[i]);
  return views;
}

bool all_see_all_alive(const ProcessFleet& fleet, std::size_t size) {
  const auto views = poll_views(fleet);
  if (views.size() < fleet.running().size()) return false;
  const auto not_alive = [](const auto& member) { return member.status != Status::alive; };
  for (const auto& [observer, view] : views) {
    if (view.members.size() < size) return false;
    if (std::any_of(view.members.begin(), view.members.end(), not_alive)) return false;
  }
  return true;
}

struct RunOptions {
  std::string program;
  std::uint64_t seed = 1;
  std::size_t size = 48;
};

Json run_scenario(const MembershipScenario& scenario, const RunOptions& run, bool plain) {
  fleet::ProcessFleetOptions options;
  options.program = run.program;
  options.size = run.size;
  options.seed = run.seed;
  options.plain_membership = plain;
  ProcessFleet fleet(options);
  fleet.start_all();
  const bool formed = fleet.wait_until([&] { return all_see_all_alive(fleet, run.size); }, kFormTimeout);
  std::this_thread::sleep_for(kSettleTime);
  const auto counters_before = fleet.network_counters();
  const auto usage_before = resource_usage(fleet);
  const auto began = Clock::now();
  const auto end = began + scenario.length;
  for (const auto& rule : scenario.rules) fleet.add_rule(rule);
  MembershipFault fault(scenario, fleet, run.seed, began, end);
  MembershipFigureCollector collector(scenario, fault);
  const auto waits_for_rejoin = [&] {
    return fault.healed() && collector.figures().rejoin_ms < 0 && Clock::now() < end + kRejoinTimeout;
  };
  while (Clock::now() < end || waits_for_rejoin()) {
    fault.advance();
    std::this_thread::sleep_for(kPollInterval);
    const auto views = poll_views(fleet);
    collector.add(views, fleet.running().size(), Clock::now());
  }
  const double seconds = seconds_between(began, Clock::now());
  const auto counters = fleet.network_counters();
  const auto usage = resource_usage(fleet);
  const auto figures = collector.figures();
  const double member_seconds = seconds * double(run.size) / 2;  // each datagram has two ends
  return Json{
      {"formed", formed},
      {"false_dead", figures.false_dead},
      {"flaps", figures.flaps},
      {"detect_p50_ms", quantile(figures.detection_ms, 0.5)},
      {"detect_p99_ms", quantile(figures.detection_ms, 0.99)},
      {"agree_ms", figures.agree_ms},
      {"rejoin_ms", figures.rejoin_ms},
      {"majority_ms", figures.majority_ms},
      {"knows_itself_ms", figures.knows_itself_ms},
      {"edge_ms", figures.edge_ms},
      {"bytes_per_member_s", double(counters.bytes - counters_before.bytes) / member_seconds},
      {"datagrams_per_member_s", double(counters.datagrams - counters_before.datagrams) / member_seconds},
      {"cpu_share", (usage.cpu_s - usage_before.cpu_s) / seconds / double(run.size)},
      {"rss_mb", usage.rss_mb},
      {"seconds", seconds}};
}

}  // namespace
}  // namespace granitegap::bench

namespace {

int run_main(int argc, char** argv) {
  using namespace granitegap::bench;
  CLI::App app("Membership between real processes.", "granitegap_bench_membership");
  std::string file = SCENARIOS "/membership_loss.cue";
  RunOptions run;
  run.program = PROGRAM;
  bool only_guarded = false;
  app.add_option("--scenario", file, "A record; bench/membership.schema.cue");
  app.add_option("--seed", run.seed, "For the network and the processes that the fault hits");
  app.add_option("--size", run.size, "Processes")->check(CLI::Range(2, 200));
  app.add_option("--program", run.program, "granitegap");
  app.add_flag("--only-guarded", only_guarded, "Leave the plain policy out");
  CLI11_PARSE(app, argc, argv);
  const auto read = read_membership_scenario(file);
  if (const auto* errors = std::get_if<std::vector<granitegap::typed_config::Error>>(&read)) {
    for (const auto& error : *errors) std::fprintf(stderr, "%s\n", error.text().c_str());
    return 2;
  }
  const auto& scenario = std::get<MembershipScenario>(read);
  try {
    Json out{{"scenario", scenario.name}, {"seed", run.seed}, {"size", run.size}};
    out["guarded"] = run_scenario(scenario, run, false);
    if (!only_guarded) out["plain"] = run_scenario(scenario, run, true);
    std::printf("%s\n", out.dump().c_str());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "granitegap_bench_membership: %s\n", error.what());
    return 1;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run_main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "granitegap_bench_membership: %s\n", error.what());
    return 1;
  }
}
