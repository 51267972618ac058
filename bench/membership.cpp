// Membership between real processes behind a stand-in network.
//
//   granitegap_bench_membership [--scenario FILE] [--seed N] [--size N] [--program PATH]
//
// Scenarios are records (bench/scenarios/membership_*.cue; schema: bench/membership.schema.cue). Each is
// played by `guarded` and `plain` (fixed timeouts, direct probes, no refutation) under the same rules and
// seed. The views of all processes are asked for again and again; how long a status has stood is what a
// process itself says, so that the asking adds nothing to a time. The last line is one JSON object.
//
// `false_dead`: pairs in which a process was held dead that lived and was neither paused nor cut off, each
// once a time, where a paused one counts again eight seconds after it woke; `flaps`: the same with suspect.
// `detect_*`: from the kill or cut to when each of the others no longer held it alive; `agree_ms`: until all
// held it dead. `rejoin_ms`: from the mend or wake to one view of all.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "fleet/process_fleet.h"
#include "membership_schema.h"

namespace granitegap::bench {
namespace {

using fleet::ProcessFleet;
using membership::LocalConnectivity;
using membership::Status;
using Json = nlohmann::ordered_json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

enum class Deed { kill, pause, cut_halves, cut_pair, cut_output, none };
struct Scenario {
  std::string name;
  Duration length{}, deed_at{}, deed_for{};
  Deed deed = Deed::none;
  std::size_t count = 1;
  std::vector<standin::Rule> rules;
};

double ms(Clock::duration d) { return std::chrono::duration<double, std::milli>(d).count(); }
double quantile(std::vector<double> v, double q) {
  if (v.empty()) return -1;
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, std::size_t(q * double(v.size())))];
}

// Processor time and memory of the processes.
struct Usage {
  double cpu_s = 0, rss_mb = 0;
};
Usage usage(const ProcessFleet& f) {
  Usage u;
  for (const auto& name : f.running()) {
    const auto folder = "/proc/" + std::to_string(f.pid(name));
    std::ifstream stat(folder + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skip;
    for (int k = 0; k < 11; ++k) fields >> skip;
    double user = 0, system = 0;
    fields >> user >> system;
    u.cpu_s += (user + system) / double(::sysconf(_SC_CLK_TCK));
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.rfind("VmRSS:", 0) == 0) u.rss_mb = std::max(u.rss_mb, std::stod(line.substr(6)) / 1024);
  }
  return u;
}

// Ends and times of one pair's trouble, as seen by polls.
class Watch {
 public:
  Watch(ProcessFleet& f, std::size_t threads) : f_(f), threads_(threads) {}
  std::map<std::string, membership_udp::StatusReply> look() {
    std::map<std::string, membership_udp::StatusReply> views;
    const auto names = f_.running();
    std::vector<std::string> list(names.begin(), names.end());
    std::vector<std::optional<membership_udp::StatusReply>> got(list.size());
    std::vector<std::thread> pool;
    for (std::size_t t = 0; t < threads_; ++t)
      pool.emplace_back([&, t] {
        for (auto i = t; i < list.size(); i += threads_) got[i] = f_.view(list[i], 500ms);
      });
    for (auto& t : pool) t.join();
    for (std::size_t i = 0; i < list.size(); ++i)
      if (got[i]) views[list[i]] = std::move(*got[i]);
    return views;
  }

 private:
  ProcessFleet& f_;
  std::size_t threads_;
};

Json play(const Scenario& s, const std::string& program, bool plain, std::uint64_t seed, std::size_t size) {
  fleet::ProcessFleetOptions options;
  options.program = program;
  options.size = size;
  options.seed = seed;
  options.plain_membership = plain;
  ProcessFleet f(options);
  Watch watch(f, 3);
  f.start_all();
  const auto all_alive = [&] {
    const auto views = watch.look();
    if (views.size() < f.running().size()) return false;
    for (const auto& [who, v] : views)
      if (v.members.size() < size ||
          std::any_of(v.members.begin(), v.members.end(), [](auto& l) { return l.status != Status::alive; }))
        return false;
    return true;
  };
  const bool formed = f.wait_until(all_alive, 60s);
  std::this_thread::sleep_for(3s);
  const auto before = f.network_counters();
  const auto usage_before = usage(f);
  const auto began = Clock::now();
  for (const auto& r : s.rules) f.add_rule(r);
  std::mt19937_64 random(seed);
  std::vector<std::string> order;
  for (const auto& n : f.names()) order.push_back(n);
  std::shuffle(order.begin(), order.end(), random);
  const std::size_t count = std::min(s.count, size - 1);
  ProcessFleet::Names struck(order.begin(), order.begin() + std::ptrdiff_t(count));
  ProcessFleet::Names others;
  for (const auto& n : order)
    if (!struck.contains(n)) others.insert(n);

  std::uint64_t false_dead = 0, flaps = 0;
  std::map<std::pair<std::string, std::string>, Status> held;
  std::map<std::string, double> first_doubt;  // by who: when it first held any struck one other than alive
  double agree_ms = -1, rejoin_ms = -1, majority_ms = -1, knows_ms = -1, edge_ms = -1;
  bool done = false, mended = false;
  Clock::time_point deed{}, mend{};
  ProcessFleet::RuleId cut = 0;
  std::map<std::string, Clock::time_point> paused_until;
  // Whoever was paused is rightly doubted, and for a while after.
  std::map<std::string, Clock::time_point> woken;
  constexpr auto kForgiven = 8s;
  auto next_pause = began;
  const auto length = Clock::now() + s.length;
  while (Clock::now() < length || (mended && rejoin_ms < 0 && Clock::now() < length + 30s)) {
    const auto now = Clock::now();
    if (s.deed != Deed::none && s.deed != Deed::pause && !done && now - began >= s.deed_at) {
      done = true;
      deed = Clock::now();
      if (s.deed == Deed::kill)
        for (const auto& n : struck) f.kill(n);
      if (s.deed == Deed::cut_halves) {
        struck = ProcessFleet::Names(order.begin(), order.begin() + std::ptrdiff_t(size / 2));
        others = ProcessFleet::Names(order.begin() + std::ptrdiff_t(size / 2), order.end());
        cut = f.partition(struck, others, true);
      }
      if (s.deed == Deed::cut_pair) cut = f.partition({order[0]}, {order[1]});
      if (s.deed == Deed::cut_output) cut = f.partition(struck, {});
    }
    if (s.deed == Deed::pause) {
      for (auto it = paused_until.begin(); it != paused_until.end();) {
        if (now < it->second) {
          ++it;
          continue;
        }
        f.resume(it->first);
        woken[it->first] = now;
        it = paused_until.erase(it);
      }
      // `count` of them paused at any time, begun at moments drawn by the seed.
      if (now >= next_pause && paused_until.size() < count && now + s.deed_for < length) {
        const auto& n = order[random() % order.size()];
        if (!paused_until.contains(n)) {
          f.pause(n);
          paused_until[n] = now + s.deed_for;
        }
        next_pause = now + std::chrono::milliseconds(random() % 400);
      }
    }
    if (done && s.deed != Deed::kill && !mended && s.deed_for.count() > 0 &&
        Clock::now() - deed >= s.deed_for) {
      mended = true;
      f.heal(cut);
      mend = Clock::now();
    }
    std::this_thread::sleep_for(100ms);  // the asking itself must not be what is measured
    const auto views = watch.look();
    const auto at = Clock::now();
    bool all_dead = done && !views.empty(), one_view = views.size() == f.running().size();
    bool majority_right = done, edge_shown = done;
    for (const auto& [who, v] : views) {
      const bool who_struck = struck.contains(who) && done;
      if (s.deed == Deed::cut_halves && v.has_quorum) majority_right = false;
      if (s.deed == Deed::cut_output && who_struck && knows_ms < 0 &&
          v.local_connectivity == LocalConnectivity::outbound_broken)
        knows_ms = ms(at - deed);
      if (s.deed == Deed::cut_pair && (who == order[0] || who == order[1])) {
        bool unheard = false, not_reaching = false;
        for (const auto& l : v.members) {
          if (l.name == order[1])
            unheard =
                std::find(l.unheard_from.begin(), l.unheard_from.end(), order[0]) != l.unheard_from.end();
          if (l.name == order[0])
            not_reaching =
                std::find(l.not_reaching.begin(), l.not_reaching.end(), order[1]) != l.not_reaching.end();
        }
        if (!unheard && !not_reaching) edge_shown = false;
      }
      for (const auto& l : v.members) {
        if (l.name == who) continue;
        auto& last = held.try_emplace({who, l.name}, Status::alive).first->second;
        const auto change = std::exchange(last, l.status);
        const bool guilty =
            (done && s.deed == Deed::kill && struck.contains(l.name)) ||
            (done && s.deed == Deed::cut_output && (struck.contains(l.name) || who_struck)) ||
            (done && s.deed == Deed::cut_halves && struck.contains(l.name) != struck.contains(who)) ||
            (s.deed == Deed::pause &&
             (paused_until.contains(l.name) || (woken.contains(l.name) && at - woken[l.name] < kForgiven)));
        if (!guilty && change != l.status) {
          if (l.status == Status::dead) ++false_dead;
          if (l.status == Status::suspect) ++flaps;
        }
        if (l.status != Status::alive) one_view = false;
        if (done && struck.contains(l.name) && !who_struck) {
          if (l.status != Status::dead) all_dead = false;
          if (l.status != Status::alive && !first_doubt.contains(who))
            first_doubt[who] = std::max(0.0, ms(at - deed) - double(l.since_ms));
        }
      }
    }
    if (all_dead && agree_ms < 0 && (s.deed == Deed::kill || s.deed == Deed::cut_output))
      agree_ms = ms(at - deed);
    if (s.deed == Deed::cut_halves && majority_right && majority_ms < 0) majority_ms = ms(at - deed);
    if (s.deed == Deed::cut_pair && edge_shown && edge_ms < 0) edge_ms = ms(at - deed);
    if (mended && one_view && rejoin_ms < 0) rejoin_ms = ms(at - mend);
  }
  const auto seconds = ms(Clock::now() - began) / 1000;
  const auto after = f.network_counters();
  const auto usage_after = usage(f);
  std::vector<double> detect;
  for (const auto& [who, t] : first_doubt) detect.push_back(t);
  const double each = seconds * double(size) / 2;
  return Json{{"formed", formed},
              {"false_dead", false_dead},
              {"flaps", flaps},
              {"detect_p50_ms", quantile(detect, 0.5)},
              {"detect_p99_ms", quantile(detect, 0.99)},
              {"agree_ms", agree_ms},
              {"rejoin_ms", rejoin_ms},
              {"majority_ms", majority_ms},
              {"knows_itself_ms", knows_ms},
              {"edge_ms", edge_ms},
              {"bytes_per_member_s", double(after.bytes - before.bytes) / each},
              {"datagrams_per_member_s", double(after.datagrams - before.datagrams) / each},
              {"cpu_share", (usage_after.cpu_s - usage_before.cpu_s) / seconds / double(size)},
              {"rss_mb", usage_after.rss_mb},
              {"seconds", seconds}};
}

std::variant<Scenario, std::vector<typed_config::Error>> read(const std::string& path) {
  const auto document = typed_config::load(path);
  if (const auto* error = std::get_if<typed_config::Error>(&document)) return std::vector{*error};
  static const auto schema =
      std::get<typed_config::Document>(typed_config::parse(kMembershipSchema, "membership.schema.cue"));
  auto checked = typed_config::validate(std::get<typed_config::Document>(document), schema, "#Scenario");
  if (auto* errors = std::get_if<std::vector<typed_config::Error>>(&checked)) return std::move(*errors);
  const auto& v = std::get<typed_config::Value>(checked);
  Scenario s;
  s.name = v["name"].as_string();
  s.length = v["seconds"].as_duration();
  s.deed_at = v["at"].as_duration();
  s.deed_for = v["lasts"].as_duration();
  s.count = std::size_t(v["count"].as_int());
  const auto& deed = v["deed"].as_string();
  s.deed = deed == "kill"         ? Deed::kill
           : deed == "pause"      ? Deed::pause
           : deed == "cut_halves" ? Deed::cut_halves
           : deed == "cut_pair"   ? Deed::cut_pair
           : deed == "cut_output" ? Deed::cut_output
                                  : Deed::none;
  standin::Rule r;
  r.loss = v["loss"].as_double();
  r.delay = v["delay"].as_duration();
  r.spread = v["spread"].as_double();
  if (r.loss > 0 || r.delay.count() > 0) s.rules.push_back(r);
  return s;
}

}  // namespace
}  // namespace granitegap::bench

int main(int argc, char** argv) {
  using namespace granitegap::bench;
  CLI::App app("Membership between real processes.", "granitegap_bench_membership");
  std::string file = SCENARIOS "/membership_loss.cue", program = PROGRAM;
  std::uint64_t seed = 1;
  std::size_t size = 48;
  bool no_plain = false;
  app.add_option("--scenario", file, "A record; bench/membership.schema.cue");
  app.add_option("--seed", seed, "For the network and who is struck");
  app.add_option("--size", size, "Processes")->check(CLI::Range(2, 200));
  app.add_option("--program", program, "granitegap");
  app.add_flag("--only-guarded", no_plain, "Leave the plain policy out");
  CLI11_PARSE(app, argc, argv);
  const auto scenario = read(file);
  if (const auto* errors = std::get_if<std::vector<granitegap::typed_config::Error>>(&scenario)) {
    for (const auto& e : *errors) std::fprintf(stderr, "%s\n", e.text().c_str());
    return 2;
  }
  const auto& s = std::get<Scenario>(scenario);
  try {
    Json out{{"scenario", s.name}, {"seed", seed}, {"size", size}};
    out["guarded"] = play(s, program, false, seed, size);
    if (!no_plain) out["plain"] = play(s, program, true, seed, size);
    std::printf("%s\n", out.dump().c_str());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "granitegap_bench_membership: %s\n", e.what());
    return 1;
  }
}
