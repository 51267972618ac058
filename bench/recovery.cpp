// How a fleet of real processes comes back after most of them have restarted at once, under callers of
// several habits, on stand-in kernels that restart cold with them.
//
//   granitegap_bench_recovery [--scenario FILE] [--seed N] [--size N] [--program PATH] [--svg FILE]
//   granitegap_bench_recovery --draw RESULT --svg FILE    # of a play before, whose object lies in RESULT
//
// Scenarios are records (bench/scenarios/recovery_*.cue; schema: bench/recovery.schema.cue). Each is played
// on the same arrivals by `guided` (membership and recovery declared, with a directory) and `plain`
// (neither). The last line is one JSON object.
//
// `full_service_s`: from the restart to the first of three seconds, by when requests were first wanted, whose
// worth together is 0.95 of the mean before; -1: never. `floor_s`: the same if kernels' own warm-up were
// the only limit. `worth_lost`: against the mean before, in seconds of it. `survivor_worth`: what those not
// restarted served in the ten seconds after, of what they had served a second before. `double_runs`: of one
// keyed request on one kernel. With services below: `peak_dependency_calls`, the most calls of one in any
// second after the restart, of its mean a second before (`steady_peak`: the most before, of the same);
// `max_open_below`: calls that one of them had open at once; `stale_decisions`: parts served as fresh or as
// stale that were older than declared, were said to be younger than they were, or were of another thing.
// `unserved`: first tries that nobody served by their deadline; `late`: served
// past their aim.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <exception>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <set>

#include "fleet/load_generator.h"
#include "fleet/process_fleet.h"
#include "partial_answer.pb.h"
#include "recovery_schema.h"
#include "recovery_svg.h"
#include "standin/dependency.h"
#include "typed_config/typed_config.h"

namespace granitegap::bench {
namespace {

using fleet::LoadGenerator;
using fleet::ProcessFleet;
using Json = nlohmann::ordered_json;
using namespace std::chrono_literals;

struct Scenario {
  std::string name;
  Duration before{}, after{}, cost{}, warm_up{};
  double share = 0.8, load = 0.8, cold_from = 0.2, crowd = 8;
  bool wipe = false, kernels_too = true;
  std::uint64_t things = 0;
  std::uint32_t capacity = 8, fleet_open = 24;
  Duration latency{}, fresh_for{}, stale_for{}, away{};
  std::array<double, fleet::kRetryBehaviors> habits{};
};

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

double resident_mb(int pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);)
    if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / 1024;
  return 0;
}

// Two services below, on a thread of their own.
class Below {
 public:
  using Clock = standin::Dependency::Clock;
  Below(const Scenario& s, std::uint64_t seed) : scenario_(s), start_(Clock::now()) {
    standin::Script script;
    standin::Phase phase;
    phase.latency = s.latency;
    phase.spread = 0.3;
    phase.capacity = s.capacity;
    phase.body = 600;
    script.phases = {phase};
    for (std::size_t k = 0; k < 2; ++k) {
      services_.push_back(std::make_unique<standin::Dependency>(io_, script, seed + k,
                                                                std::vector<std::uint16_t>{0, 0}, start_));
      services_.back()->prefix_bodies_with_arrival();
    }
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Below() {
    io_.stop();
    thread_.join();
  }
  std::string declared(bool guided) const {
    const auto ms = [](Duration d) { return std::to_string(d.count() / 1000) + "ms"; };
    std::string text = "dependencies: [\n";
    for (std::size_t k = 0; k < 2; ++k) {
      text += "\t{name: \"" + std::string(kNames[k]) + ".example.org\", endpoints: [";
      for (std::size_t e = 0; e < 2; ++e)
        text += "\"127.0.0.1:" + std::to_string(services_[k]->port(e)) + "\", ";
      text += "]";
      if (guided) text += ", fleet_open: " + std::to_string(scenario_.fleet_open) + ", fleet_fill: true";
      text += "},\n";
    }
    text += "]\ngathers: [{class: \"route-profile\", budget: 400ms, parts: [\n";
    for (const auto* name : kNames)
      text += "\t{name: \"" + std::string(name) + "\", from: \"" + name + ".example.org\", path: \"/" + name +
              "?r={body}\", fresh_for: " + ms(scenario_.fresh_for) +
              ", stale_for: " + ms(scenario_.stale_for) + ", default: \"\"},\n";
    return text + "]}]\n";
  }
  // The parts of one served answer that are not what they are said to be.
  std::uint16_t wrong(const std::string& asked, const std::string& body, Duration took) const {
    PartialAnswer answer;
    if (!answer.ParseFromString(body)) return 1;
    const auto now = std::chrono::duration_cast<Duration>(Clock::now() - start_);
    std::uint16_t n = 0;
    for (const auto& part : answer.parts()) {
      if (part.status() != Part::FRESH && part.status() != Part::STALE) continue;
      const auto space = part.data().find(' '), end = part.data().find('\n');
      if (end == std::string::npos || space > end) {
        ++n;
        continue;
      }
      const auto path = part.data().substr(space + 1, end - space - 1);
      const auto age = now - std::chrono::milliseconds(std::stoll(part.data().substr(0, space)));
      const auto most = part.status() == Part::FRESH ? scenario_.fresh_for : scenario_.stale_for;
      // It was chosen at some moment while the request was under way; a call of its own may have taken long.
      const auto slack = took + 10ms;
      // What it says of its age counts from when its server had the answer, a call's time after it was given.
      const bool bad = path != "/" + part.name() + "?r=" + asked || age > most + slack ||
                       age > std::chrono::milliseconds(part.age_ms()) + slack + kBudget;
      n += bad;
      if (bad && told_++ < 10)
        std::fprintf(stderr, "wrong: %s for %s, status %d, %.1f ms old, said to be %u, after %.1f ms\n",
                     path.c_str(), asked.c_str(), int(part.status()), seconds(age) * 1000, part.age_ms(),
                     seconds(took) * 1000);
    }
    return n;
  }
  // Calls of each service by when they came, and the most open at once; since the restart is not told apart.
  std::vector<std::vector<Duration>> calls() {
    return on_io([&] {
      std::vector<std::vector<Duration>> all;
      for (const auto& s : services_) all.push_back(s->counters().arrivals);
      return all;
    });
  }
  std::size_t max_open() {
    return on_io(
        [&] { return std::max(services_[0]->counters().max_open, services_[1]->counters().max_open); });
  }
  Duration elapsed() const { return std::chrono::duration_cast<Duration>(Clock::now() - start_); }

 private:
  static constexpr Duration kBudget = 400ms;
  mutable std::atomic<int> told_ = 0;
  static constexpr const char* kNames[] = {"elevation", "names"};
  template <class F>
  auto on_io(F f) -> decltype(f()) {
    std::promise<decltype(f())> done;
    boost::asio::post(io_, [&] { done.set_value(f()); });
    return done.get_future().get();
  }
  const Scenario& scenario_;
  Clock::time_point start_;
  boost::asio::io_context io_;
  std::vector<std::unique_ptr<standin::Dependency>> services_;
  std::thread thread_;
};

// The most of these in any second of [from, to), and their mean a second.
std::pair<double, double> rates(const std::vector<Duration>& calls, Duration from, Duration to) {
  std::vector<Duration> in;
  for (const auto c : calls)
    if (c >= from && c < to) in.push_back(c);
  std::size_t most = 0;
  for (std::size_t a = 0, b = 0; b < in.size(); ++b) {
    while (in[b] - in[a] >= 1s) ++a;
    most = std::max(most, b - a + 1);
  }
  return {double(most), double(in.size()) / seconds(to - from)};
}

// When the kernels alone would carry 0.95 of the load again.
double floor_of(const Scenario& s, std::size_t size, std::size_t struck) {
  for (double t = 0; t < seconds(s.after); t += 0.1) {
    const double warm =
        s.kernels_too ? s.cold_from + (1 - s.cold_from) * std::min(1.0, t / seconds(s.warm_up)) : 1;
    if (double(size - struck) + double(struck) * warm >= 0.95 * s.load * double(size)) return t;
  }
  return -1;
}

Json play(const Scenario& s, const std::string& program, bool guided, std::uint64_t seed, std::size_t size) {
  fleet::ProcessFleetOptions o;
  o.program = program;
  o.size = size;
  o.seed = seed;
  o.cores = 1;
  o.run_cost = s.cost;
  o.warm_up_ms = seconds(s.warm_up) * 1000;
  o.operator_file = "dependencies: []\ngathers: []\n";
  std::optional<Below> below;
  if (s.things > 0) {
    below.emplace(s, seed);
    o.operator_file = below->declared(guided);
  }
  o.with_membership = guided;
  if (guided) o.operator_file += "recovery: {folder: \"@FOLDER\", snapshot_every: 1s}\n";
  o.with_operator_file = guided || below;
  ProcessFleet f(o);
  std::vector<std::string> names;
  for (const auto& n : f.names()) names.push_back(n);
  for (const auto& n : names) f.set_speed(n, {s.cold_from, s.warm_up, s.crowd});
  f.start_all();
  const auto all_up = [&] {
    return std::all_of(names.begin(), names.end(), [&](auto& n) { return f.port(n) != 0; });
  };
  if (!f.wait_until(all_up, 60s)) throw std::runtime_error("not all came up:\n" + f.describe());
  // In full service, and no keyed request waits for an earlier life any more: guards against a worth before
  // that lacks them.
  const auto settled = [&] {
    return std::all_of(names.begin(), names.end(), [&](auto& n) {
      const auto r = membership_udp::query_status(f.bound(n), 2s, true);
      return r && r->recovery_report && r->recovery_report->phase == "full" &&
             r->recovery_report->keyed_wait_ms == 0;
    });
  };
  if (guided && !f.wait_until([&] { return f.has_converged() && settled(); }, 120s))
    throw std::runtime_error("the fleet did not settle:\n" + f.describe());
  std::this_thread::sleep_for(1s);

  fleet::LoadOptions c;
  c.seed = seed;
  c.requests_per_s = s.load * double(size) / seconds(s.cost);
  c.proxies = 16;
  c.estimated_cost_ms = int(std::lround(seconds(s.cost) * 1000));
  c.behavior_weights = s.habits;
  c.classes = {{"tile", 0.6, 1, 0.2, 1900ms, 4900ms, false},
               {"route-profile", 0.3, 2, 0, 1900ms, 4900ms, false},
               {"trail-report", 0.1, 5, 0.2, 1200ms, 3000ms, true}};
  if (below) {
    c.classes[1].distinct_keys = s.things;
    c.validate = [&](const fleet::LoadClass& cls, const std::string& asked, const std::string& body,
                     Duration took) {
      return cls.distinct_keys ? below->wrong(asked, body, took) : std::uint16_t(0);
    };
  }
  // Where each serves; looked up once a life, as a list would tell it.
  std::mutex mutex;
  std::vector<std::uint16_t> ports;
  ports.reserve(names.size());
  for (const auto& n : names) ports.push_back(f.port(n));
  LoadGenerator load(c, size, [&](std::size_t n) {
    const std::lock_guard lock(mutex);
    return ports[n];
  });
  const auto wait_until = [&](Duration t) {
    if (const auto left = t - load.elapsed(); left.count() > 0) std::this_thread::sleep_for(left);
  };
  wait_until(s.before);
  std::mt19937_64 random(seed);
  std::vector<std::size_t> order(size);
  for (std::size_t n = 0; n < size; ++n) order[n] = n;
  std::shuffle(order.begin(), order.end(), random);
  const auto struck = std::size_t(std::lround(s.share * double(size)));
  std::set<std::size_t> who(order.begin(), order.begin() + std::ptrdiff_t(struck));
  const auto hit = load.elapsed();
  const auto below_hit = below ? below->elapsed() : Duration();
  for (const auto n : who) {
    f.kill(names[n]);
    const std::lock_guard lock(mutex);
    ports[n] = 0;
  }
  std::this_thread::sleep_for(s.away);
  for (const auto n : who) {
    if (s.wipe) f.wipe_state(names[n]);
    if (s.kernels_too) f.reboot_kernel(names[n]);
    f.start(names[n]);
  }
  // The list learns where they are as they come up.
  const auto all_back = [&] {
    bool all = true;
    for (const auto n : who) {
      const auto p = f.port(names[n]);
      const std::lock_guard lock(mutex);
      ports[n] = p;
      all = all && p;
    }
    return all;
  };
  if (!f.wait_until(all_back, 60s)) throw std::runtime_error("not all came back:\n" + f.describe());
  const double up_s = seconds(load.elapsed() - hit);
  wait_until(hit + s.after);
  const auto end = load.elapsed();
  load.stop();

  const auto fates = load.records({}, end);
  std::vector<double> worth(std::size_t(seconds(end)) + 1);
  const auto from = std::size_t(2);  // the first two seconds are the crowd's own start
  const auto at = std::size_t(std::ceil(seconds(hit)));
  std::uint64_t refused = 0, retries = 0, unserved = 0, late = 0;
  double survivors_before = 0, survivors_after = 0;
  for (const auto& fate : fates) {
    const auto& cls = c.classes[fate.class_index];
    const auto second = std::size_t(seconds(fate.scheduled_at));
    const double w = earned_weight(fate, cls);
    worth[second] += w;
    if (fate.served && !who.contains(fate.server)) {
      if (second >= from && fate.scheduled_at < hit) survivors_before += w / double(at - from);
      if (fate.scheduled_at >= hit && fate.scheduled_at < hit + 10s) survivors_after += w / 10;
    }
    if (fate.scheduled_at < hit) continue;
    refused += fate.rejections;
    retries += fate.attempts > 0 ? fate.attempts - 1 : 0;
    unserved += !fate.served;
    late += fate.served && fate.latency > cls.latency_objective;
  }
  double mean = 0;
  for (std::size_t k = from; k + 1 < at; ++k) mean += worth[k] / double(at - 1 - from);
  double full = -1, lost = 0;
  const auto last = std::size_t(seconds(end));
  for (std::size_t k = at; k + 3 <= last && full < 0; ++k)
    if (worth[k] + worth[k + 1] + worth[k + 2] >= 3 * 0.95 * mean) full = double(k) - seconds(hit);
  for (std::size_t k = std::size_t(seconds(hit)); k < last; ++k) lost += std::max(0.0, 1 - worth[k] / mean);
  int double_runs = 0;
  std::uint64_t stale = 0;
  for (const auto& fate : fates) stale += fate.validation_errors;
  double rss = 0, runs = 0, served = 0;
  for (const auto& fate : fates) served += fate.served;
  for (const auto& n : names) {
    for (const auto& [what, count] : f.kernel_runs(n)) {
      runs += count;
      if (what.cls == "trail-report" && count > 1) double_runs += count - 1;
    }
    rss = std::max(rss, resident_mb(f.pid(n)));
  }
  // Who served in the last ten seconds: a server that is up and serves nothing is no part of the fleet.
  std::vector<int> last_served(size);
  for (const auto& fate : fates)
    if (fate.served && fate.scheduled_at >= end - 10s) ++last_served[fate.server];
  Json series = Json::array();
  for (std::size_t k = from; k < last; ++k) series.push_back(std::round(worth[k] / mean * 1000) / 1000);
  Json under = Json::object();
  if (below) {
    double peak = 0, steady_peak = 0, steady = 0;
    for (const auto& calls : below->calls()) {
      const auto [max_before, mean_before] = rates(calls, below_hit - (hit - Duration(2s)), below_hit);
      const auto after = rates(calls, below_hit, below_hit + s.after);
      steady_peak = std::max(steady_peak, max_before / std::max(mean_before, 1.0));
      peak = std::max(peak, after.first / std::max(mean_before, 1.0));
      steady = std::max(steady, mean_before);
    }
    under = {{"peak_dependency_calls", peak},
             {"steady_peak", steady_peak},
             {"steady_calls_s", steady},
             {"most_open_below", below->max_open()},
             {"stale_decisions", stale}};
  }
  return Json{{"below", under},
              {"full_service_s", full},
              {"floor_s", floor_of(s, size, struck)},
              {"up_s", up_s},
              {"worth_lost", lost},
              {"survivor_worth", survivors_before > 0 ? survivors_after / survivors_before : -1},
              {"refused", refused},
              {"retries", retries},
              {"double_runs", double_runs},
              {"runs_a_served", served > 0 ? runs / served : -1},
              {"unserved", unserved},
              {"late", late},
              {"rss_mb", rss},
              {"hit_s", seconds(hit)},
              {"from_s", from},
              {"served_last_10s", last_served},
              {"worth", series}};
}

std::variant<Scenario, std::vector<typed_config::Error>> read(const std::string& path) {
  const auto document = typed_config::load(path);
  if (const auto* error = std::get_if<typed_config::Error>(&document)) return std::vector{*error};
  static const auto kSchema =
      std::get<typed_config::Document>(typed_config::parse(kRecoverySchema, "recovery.schema.cue"));
  auto checked = typed_config::validate(std::get<typed_config::Document>(document), kSchema, "#Scenario");
  if (auto* errors = std::get_if<std::vector<typed_config::Error>>(&checked)) return std::move(*errors);
  const auto& v = std::get<typed_config::Value>(checked);
  Scenario s;
  s.name = v["name"].as_string();
  s.before = v["before"].as_duration();
  s.after = v["after"].as_duration();
  s.cost = v["cost"].as_duration();
  s.warm_up = v["warm_up"].as_duration();
  s.share = v["share"].as_double();
  s.load = v["load"].as_double();
  s.cold_from = v["cold_from"].as_double();
  s.crowd = v["crowd"].as_double();
  s.wipe = v["wipe"].as_bool();
  s.kernels_too = v["kernels_too"].as_bool();
  s.things = std::uint64_t(v["things"].as_double());
  s.capacity = std::uint32_t(v["capacity"].as_double());
  s.fleet_open = std::uint32_t(v["fleet_open"].as_double());
  s.latency = v["latency"].as_duration();
  s.fresh_for = v["fresh_for"].as_duration();
  s.stale_for = v["stale_for"].as_duration();
  s.away = v["away"].as_duration();
  s.habits = {v["heeding"].as_double(), v["tireless"].as_double(), v["sticky"].as_double()};
  return s;
}

}  // namespace
}  // namespace granitegap::bench

namespace {

int run_main(int argc, char** argv) {
  using namespace granitegap::bench;
  CLI::App app("Coming back after a mass restart.", "granitegap_bench_recovery");
  std::string file = SCENARIOS "/recovery_most.cue", program = PROGRAM;
  std::uint64_t seed = 1;
  std::size_t size = 24;
  bool only_plain = false, only_guided = false;
  std::string svg, drawn;
  app.add_option("--svg", svg, "Draw served worth over time into this file");
  app.add_option("--draw", drawn, "Play nothing: draw what this file holds");
  app.add_option("--scenario", file, "A record; bench/recovery.schema.cue");
  app.add_option("--seed", seed, "For arrivals and who is struck");
  app.add_option("--size", size, "Processes")->check(CLI::Range(2, 200));
  app.add_option("--program", program, "granitegap");
  app.add_flag("--only-plain", only_plain, "Leave the guided policy out");
  app.add_flag("--only-guided", only_guided, "Leave the plain policy out");
  CLI11_PARSE(app, argc, argv);
  const auto draw = [&](const Json& result) {
    std::ofstream out(svg, std::ios::binary);
    out << draw_return(result);
    return bool(out.flush());
  };
  if (!drawn.empty()) try {
      std::ifstream in(drawn);
      return draw(Json::parse(in)) ? 0 : 1;
    } catch (const std::exception& e) {
      std::fprintf(stderr, "granitegap_bench_recovery: %s: %s\n", drawn.c_str(), e.what());
      return 2;
    }
  const auto scenario = read(file);
  if (const auto* errors = std::get_if<std::vector<granitegap::typed_config::Error>>(&scenario)) {
    for (const auto& e : *errors) std::fprintf(stderr, "%s\n", e.text().c_str());
    return 2;
  }
  const auto& s = std::get<Scenario>(scenario);
  try {
    Json out{{"scenario", s.name}, {"seed", seed}, {"size", size}};
    if (!only_plain) out["guided"] = play(s, program, true, seed, size);
    if (!only_guided) out["plain"] = play(s, program, false, seed, size);
    if (!svg.empty() && !only_plain && !only_guided && !draw(out))
      throw std::runtime_error("can't write " + svg);
    std::printf("%s\n", out.dump().c_str());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "granitegap_bench_recovery: %s\n", e.what());
    return 1;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run_main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "granitegap_bench_recovery: %s\n", error.what());
    return 1;
  }
}
