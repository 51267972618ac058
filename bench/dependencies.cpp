// What the gathering of parts is worth while services below fail: the real program on loopback sockets, with
// a stand-in kernel, two stand-in dependencies and stand-in client proxies.
//
//   granitegap_bench_dependencies [--scenario FILE]... [--seed N] [--scale X] [--program PATH]
//
// Without a scenario the standard set is played (bench/scenarios). Each scenario is played three times on the
// same arrivals: `fault_free` (its faults taken out), `guarded`, and `plain` (no budgets, limits or breakers:
// it waits until the due time). The last line is one JSON object.
//
// Figures: `served_worth` sums the worth of what was served (whole or in parts) within its aim, late_worth of
// it up to its deadline; `fault_worth` the same of arrivals while the fault lasts, `other_worth` of those
// that need no part. `calls_per_request`: calls that the dependencies saw while the fault lasted, for each
// part then asked for. `recovered_ms`: from the fault's end to the first second in which 0.98 of the answers
// are whole.
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "standin/dependency.h"
#include "standin/kernel.h"

namespace granitegap::bench {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr int kProxies = 32;
constexpr auto kLastAnswers = std::chrono::seconds(7);  // after the last arrival: past every deadline
constexpr double kWholeShare = 0.98;

struct Class {
  const char* name;
  double share, worth, late_worth;
  Duration aim, deadline, cost;
  int parts;
  bool keyed;
};
constexpr Class kClasses[] = {
    {"tile", 0.6, 1, 0.2, milliseconds(1900), milliseconds(4900), milliseconds(10), 0, false},
    {"route-profile", 0.3, 2, 0, milliseconds(1900), milliseconds(4900), milliseconds(25), 2, false},
    {"trail-report", 0.1, 5, 0.2, milliseconds(1200), milliseconds(3000), milliseconds(15), 1, true}};

enum class Policy { fault_free, guarded, plain };
constexpr const char* kPolicies[] = {"fault_free", "guarded", "plain"};

struct Arrival {
  Duration at{};
  int cls = 0, proxy = 0;
  std::uint64_t key = 0;
  bool repeat = false;  // of the report before it
  std::string rid, body, token;
};
struct Answer {
  bool came = false;
  int code = -1;
  Duration after{};
  bool parts = false, missing = false;
};

std::vector<Arrival> arrivals_of(const standin::Scenario& s, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto uniform = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
  std::vector<Arrival> all;
  const auto add = [&](Arrival a) {
    char rid[17];
    std::snprintf(rid, sizeof rid, "%016llx", static_cast<unsigned long long>(all.size() + 1));
    a.rid = rid;
    a.proxy = int(all.size() % kProxies);
    all.push_back(std::move(a));
  };
  for (double t = 0;;) {
    t += -std::log(1 - uniform()) / s.rate * 1e6;
    if (t >= double(s.length.count())) break;
    Arrival a;
    a.at = Duration(std::llround(t));
    double drawn = uniform();
    while (a.cls < 2 && drawn >= kClasses[a.cls].share) drawn -= kClasses[a.cls++].share;
    a.key = random() % s.keys;
    a.body = "key" + std::to_string(a.key);
    if (kClasses[a.cls].keyed) {
      char token[33];
      std::snprintf(token, sizeof token, "%016llx%016llx", static_cast<unsigned long long>(random()),
                    static_cast<unsigned long long>(all.size()));
      a.token = token;
      a.body += std::string(" of ") + token;
    }
    const bool again = kClasses[a.cls].keyed && uniform() < 0.3;
    const auto later = Duration(std::llround(uniform() * 300000));
    add(a);
    if (!again) continue;
    a.repeat = true;
    a.at += later;
    add(a);
  }
  std::stable_sort(all.begin(), all.end(), [](auto& a, auto& b) { return a.at < b.at; });
  return all;
}

std::string big(std::uint64_t value, int bytes) {
  std::string out;
  while (bytes-- > 0) out += char(value >> (8 * bytes) & 0xff);
  return out;
}

std::string request_frame(const Arrival& a, std::uint32_t stream, std::int64_t t0) {
  std::string fields;
  int count = 0;
  const auto field = [&](const std::string& name, const std::string& value) {
    fields += big(name.size(), 1) + name + big(value.size(), 2) + value;
    ++count;
  };
  const auto& c = kClasses[a.cls];
  field("method", c.name);
  field("rid", a.rid);
  field("t0", std::to_string(t0));
  field("peer", std::to_string(a.proxy));
  field("acct", "acme");
  field("est", std::to_string(c.cost.count() / 1000));
  field("mem", "24.5");
  field("prio", "0.5");
  if (c.keyed) field("token", a.token);
  const auto payload = big(0, 1) + big(stream, 4) + big(std::uint64_t(count), 1) + fields + a.body;
  return big(payload.size(), 4) + payload;
}

// A client proxy: one connection, on which requests are written when they are due and answers are read.
class Proxy {
 public:
  Proxy(asio::io_context& io, const std::vector<Arrival>& arrivals, std::vector<Answer>& answers)
      : io_(io), arrivals_(arrivals), answers_(answers), socket_(io) {}
  void connect(const tcp::endpoint& to) {
    error_code error;
    for (int i = 0; i < 500; ++i) {
      socket_.connect(to, error);
      if (!error) break;
      socket_ = tcp::socket(io_);
      std::this_thread::sleep_for(milliseconds(10));
    }
    if (error) throw std::runtime_error("the program does not listen: " + error.message());
    socket_.set_option(tcp::no_delay(true));
    asio::co_spawn(io_, read(), asio::detached);
  }
  void send(std::size_t i) {
    using namespace std::chrono;
    const auto t0 = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    open_[++stream_] = {i, SteadyClock::now()};
    out_ += request_frame(arrivals_[i], stream_, t0);
    if (!std::exchange(writing_, true)) asio::co_spawn(io_, write(), asio::detached);
  }

 private:
  asio::awaitable<void> write() {
    error_code error;
    while (!out_.empty() && !error) {
      const auto bytes = std::exchange(out_, {});
      co_await asio::async_write(socket_, asio::buffer(bytes),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    writing_ = false;
  }
  asio::awaitable<void> read() {
    error_code error;
    for (;;) {
      std::string head(4, '\0');
      co_await asio::async_read(socket_, asio::buffer(head),
                                asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      std::string frame(number(head), '\0');
      co_await asio::async_read(socket_, asio::buffer(frame),
                                asio::redirect_error(asio::use_awaitable, error));
      if (error || frame.size() < 7 || frame[0] != 1) co_return;
      const auto node = open_.extract(std::uint32_t(number(frame.substr(1, 4))));
      if (!node) continue;
      auto& answer = answers_[node.mapped().first];
      answer.came = true;
      answer.code = frame[5];
      answer.after = std::chrono::duration_cast<Duration>(SteadyClock::now() - node.mapped().second);
      std::size_t at = 7;
      for (int f = 0; f < frame[6]; ++f) {
        const std::size_t name_size = std::uint8_t(frame.at(at));
        const auto name = frame.substr(at + 1, name_size);
        at += 1 + name_size;
        at += 2 + number(frame.substr(at, 2));
        answer.parts |= name == "parts";
        answer.missing |= name == "missing";
      }
    }
  }
  static std::size_t number(const std::string& bytes) {
    std::size_t value = 0;
    for (const char c : bytes) value = value << 8 | std::uint8_t(c);
    return value;
  }
  asio::io_context& io_;
  const std::vector<Arrival>& arrivals_;
  std::vector<Answer>& answers_;
  tcp::socket socket_;
  std::map<std::uint32_t, std::pair<std::size_t, SteadyClock::time_point>> open_;
  std::uint32_t stream_ = 0;
  std::string out_;
  bool writing_ = false;
};

Json settings_json(const standin::Scenario& s) {
  Json classes = Json::array();
  for (const auto& c : kClasses) {
    Json cls{{"name", c.name},
             {"effect", c.keyed ? "dedup" : "retryable"},
             {"worth", c.worth},
             {"aim_ms", double(c.aim.count()) / 1000},
             {"deadline_ms", double(c.deadline.count()) / 1000},
             {"late_worth", c.late_worth}};
    if (c.keyed) cls["repeat_window_ms"] = 8949.0;
    classes.push_back(std::move(cls));
  }
  return {{"servers", 1},
          {"tick_ms", 2.0},
          {"worth_by", "work"},
          {"classes", classes},
          {"orgs", Json::array({{{"name", "acme"}, {"share", 1.0}, {"allowance_per_s", 1e6}}})},
          {"limits", {{"retry_after", true}, {"max_retry_after_ms", 1000.0}}},
          {"rules",
           {{"answer_slack_ms", 100.0},
            {"cold_from", 0.2},
            {"cold_ms", 18000.0},
            {"drain_grace_ms", 2000.0},
            {"fall_ms", 1500.0},
            {"overload_factor", 8.0}}},
          {"specifics",
           {{"cpus", s.cores},
            {"cold", false},
            {"upstreams", kProxies},
            {"memory_kb", 200000.0},
            {"key_kb", 20.0},
            {"run_factor", 8.0},
            {"halt", "pause"},
            {"say", "tokens"},
            {"heeded_ms", 1000.0},
            {"deep_checks", false},
            {"list_follows", false},
            {"passes_deadline", false},
            {"tells_gone", false},
            {"downstream", "none"},
            {"call_share", 1.0},
            {"fresh_ms", 0.0},
            {"gauges", {"core_use", "on_cores", "heap_share", "links"}}}}};
}

std::string operator_file(const standin::Scenario& s, const standin::Dependency& elevation,
                          const standin::Dependency& names) {
  const auto ms = [](Duration d) { return std::to_string(d.count() / 1000) + "ms"; };
  const auto dependency = [&](const char* name, const standin::Dependency& d) {
    std::string out = std::string("\t{name: \"") + name +
                      "\", timeout_most: " + ms(std::min<Duration>(s.budget * 2, std::chrono::seconds(60))) +
                      ", endpoints: [";
    for (int i = 0; i < s.endpoints; ++i)
      out += "\"127.0.0.1:" + std::to_string(d.port(std::size_t(i))) + "\", ";
    return out + "]},\n";
  };
  const auto ages = ", fresh_for: " + ms(s.fresh_for) + ", stale_for: " + ms(s.stale_for);
  const auto part = [&](const char* name, const char* from) {
    return std::string("{name: \"") + name + "\", from: \"" + from + "\", path: \"/" + name + "?{body}\"" +
           ages + "}, ";
  };
  return "version: 1\ndependencies: [\n" + dependency("elevation.example.org", elevation) +
         dependency("names.example.org", names) +
         "]\ngathers: [\n\t{class: \"route-profile\", budget: " + ms(s.budget) + ", parts: [" +
         part("elevation", "elevation.example.org") + part("names", "names.example.org") +
         "]},\n\t{class: \"trail-report\", budget: " + ms(s.budget) + ", parts: [" +
         part("names", "names.example.org") + "]},\n]\n";
}

standin::Script without_faults(standin::Script script) {
  // The first phase, for good.
  script.phases.resize(1);
  script.phases[0].faults.clear();
  script.phases[0].from = {};
  script.repeat = {};
  return script;
}

double resident_mb(pid_t process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(in, line);)
    if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / 1024;
  return 0;
}

struct Played {
  std::vector<Answer> answers;
  std::size_t max_open = 0;
  std::vector<Duration> calls;
  int double_runs = 0, exit_status = -1;
  double rss_mb = 0;
};

Played play(const standin::Scenario& s, Policy policy, const std::vector<Arrival>& arrivals,
            std::uint64_t seed, const std::string& program) {
  Played played;
  played.answers.resize(arrivals.size());
  asio::io_context io(1);
  asio::ip::udp::socket list(io, {asio::ip::address_v4::loopback(), 0});
  standin::Kernel kernel(io, s.cores, [](const std::string& cls, const std::string& body) {
    // The same for the same request in every run: between half and one and a half of the usual.
    const double part = 0.5 + double(std::hash<std::string>{}(body) % 1024) / 1024;
    for (const auto& c : kClasses)
      if (cls == c.name) return Duration(std::llround(double(c.cost.count()) * part));
    return Duration(1000);
  });
  const auto start = SteadyClock::now() + milliseconds(500);
  const std::vector<std::uint16_t> ports(std::size_t(s.endpoints), 0);
  const bool clean = policy == Policy::fault_free;
  standin::Dependency elevation(io, clean ? without_faults(s.elevation) : s.elevation, seed + 1, ports,
                                start);
  standin::Dependency names(io, clean ? without_faults(s.names) : s.names, seed + 2, ports, start);

  // A port for the program that is free now.
  tcp::endpoint at;
  {
    tcp::acceptor free(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    at = free.local_endpoint();
  }
  char folder[] = "/tmp/granitegap-bench-XXXXXX";
  if (!::mkdtemp(folder)) throw std::runtime_error("no folder for the configuration");
  const std::string config = std::string(folder) + "/config.json",
                    declared = std::string(folder) + "/operator.cue";
  std::ofstream(config) << Json{
      {"name", "n1"},
      {"listen", "127.0.0.1:" + std::to_string(at.port())},
      {"kernel", "127.0.0.1:" + std::to_string(kernel.port())},
      {"announce", "127.0.0.1:" + std::to_string(list.local_endpoint().port())},
      {"seed", "8c1f30d27a5be964"},
      {"stop_ms", 3200},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"settings",
       settings_json(s)}}.dump();
  std::ofstream(declared) << operator_file(s, elevation, names);
  const auto process = ::fork();
  if (process == 0) {
    ::setenv("EDGE_CONFIG", config.c_str(), 1);
    const int log = ::open((std::string(folder) + "/log").c_str(), O_CREAT | O_WRONLY, 0600);
    ::dup2(log, 2);
    if (policy == Policy::plain)
      ::execl(program.c_str(), program.c_str(), "serve", "--operator", declared.c_str(), "--plain-calls",
              nullptr);
    else
      ::execl(program.c_str(), program.c_str(), "serve", "--operator", declared.c_str(), nullptr);
    ::_exit(127);
  }
  std::vector<std::unique_ptr<Proxy>> proxies;
  for (int i = 0; i < kProxies; ++i) {
    proxies.push_back(std::make_unique<Proxy>(io, arrivals, played.answers));
    proxies.back()->connect(at);
  }
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        asio::steady_timer timer(io);
        for (std::size_t i = 0; i < arrivals.size(); ++i) {
          timer.expires_at(start + arrivals[i].at);
          co_await timer.async_wait(asio::use_awaitable);
          proxies[std::size_t(arrivals[i].proxy)]->send(i);
        }
        const auto end = SteadyClock::now() + kLastAnswers;
        const auto all_there = [&] {
          return std::all_of(played.answers.begin(), played.answers.end(), [](auto& a) { return a.came; });
        };
        while (SteadyClock::now() < end && !all_there()) {
          timer.expires_after(milliseconds(20));
          co_await timer.async_wait(asio::use_awaitable);
        }
        io.stop();
      },
      asio::detached);
  io.run();
  played.rss_mb = resident_mb(process);
  ::kill(process, SIGTERM);
  ::waitpid(process, &played.exit_status, 0);
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  for (const auto& [what, count] : kernel.runs())
    if (what.cls == "trail-report") played.double_runs += count - 1;
  played.max_open = std::max(elevation.counters().max_open, names.counters().max_open);
  for (const auto* d : {&elevation, &names})
    played.calls.insert(played.calls.end(), d->counters().arrivals.begin(), d->counters().arrivals.end());
  return played;
}

double rounded(double value, double unit) { return std::round(value / unit) * unit; }

Json figures(const standin::Scenario& s, const std::vector<Arrival>& arrivals, const Played& played) {
  double worth = 0, fault_worth = 0, other_worth = 0;
  int whole = 0, partial = 0, late = 0, unanswered = 0, refused = 0, failed = 0;
  // Of the requests with parts that came while the fault lasted: all, served, served with parts missing.
  double parts_asked = 0, asked_in_fault = 0, served_in_fault = 0, partial_in_fault = 0;
  std::vector<double> ms;
  std::vector<std::pair<Duration, bool>> gathered;  // when it arrived, whether it was served whole
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    const auto& a = arrivals[i];
    const auto& answer = played.answers[i];
    const auto& c = kClasses[a.cls];
    const bool in_fault = a.at >= s.fault_from && a.at < s.fault_to;
    if (in_fault && !a.repeat) parts_asked += c.parts;
    if (!answer.came) {
      ++unanswered;
      continue;
    }
    refused += answer.code == 1;
    failed += answer.code == 2;
    const bool served = answer.code == 0;
    if (c.parts && in_fault) {
      ++asked_in_fault;
      served_in_fault += served;
      partial_in_fault += served && answer.missing;
    }
    if (c.parts) {
      gathered.emplace_back(a.at, served && answer.parts && !answer.missing);
      whole += served && !answer.missing;
      partial += served && answer.missing;
    }
    if (!served) continue;
    ms.push_back(double(answer.after.count()) / 1000);
    late += answer.after > c.aim;
    if (a.repeat) continue;  // one worth for one report
    const double earned = answer.after <= c.aim        ? c.worth
                          : answer.after <= c.deadline ? c.worth * c.late_worth
                                                       : 0;
    worth += earned;
    if (in_fault) fault_worth += earned;
    if (in_fault && !c.parts) other_worth += earned;
  }
  std::sort(ms.begin(), ms.end());
  const auto centile = [&](double q) {
    return ms.empty() ? 0 : rounded(ms[std::min(ms.size() - 1, std::size_t(q * double(ms.size())))], 0.1);
  };
  const auto calls = std::count_if(played.calls.begin(), played.calls.end(),
                                   [&](Duration t) { return t >= s.fault_from && t < s.fault_to; });
  Json recovered = nullptr;
  const Duration second = std::chrono::seconds(1);
  for (auto from = s.fault_to; from + second <= s.length && recovered.is_null(); from += milliseconds(50)) {
    int all = 0, good = 0;
    for (const auto& [at, is_whole] : gathered)
      if (at >= from && at < from + second) ++all, good += is_whole;
    if (all && good >= kWholeShare * all) recovered = (from - s.fault_to).count() / 1000;
  }
  return {{"served_worth", rounded(worth, 0.1)},
          {"fault_worth", rounded(fault_worth, 0.1)},
          {"other_worth", rounded(other_worth, 0.1)},
          {"whole", whole},
          {"partial", partial},
          {"fault_served_share", rounded(served_in_fault / std::max(asked_in_fault, 1.0), 0.001)},
          {"fault_partial_share", rounded(partial_in_fault / std::max(asked_in_fault, 1.0), 0.001)},
          {"late", late},
          {"refused", refused},
          {"failed", failed},
          {"unanswered", unanswered},
          {"double_runs", played.double_runs},
          {"calls_per_request", parts_asked > 0 ? rounded(double(calls) / parts_asked, 0.001) : 0},
          {"p50_ms", centile(0.5)},
          {"p99_ms", centile(0.99)},
          {"most_open_calls", played.max_open},
          {"recovered_ms", recovered},
          {"rss_mb", rounded(played.rss_mb, 0.1)},
          {"exit_status", played.exit_status}};
}

double ratio(const Json& a, const Json& b, const char* name) {
  const double under = b[name].get<double>();
  return under > 0 ? rounded(a[name].get<double>() / under, 0.0001) : 0;
}

int run(int argc, char** argv) {
  CLI::App app("Served worth while services below the tile server fail.", "granitegap_bench_dependencies");
  std::vector<std::string> files;
  std::uint64_t seed = 1;
  double scale = 1;
  unsigned together = 3;
  std::string program = std::filesystem::path(argv[0]).parent_path() / "granitegap";
  app.add_option("--scenario", files, "Scenarios to play instead of the standard set");
  app.add_option("--seed", seed, "For arrivals, latencies and faults");
  app.add_option("--scale", scale, "Arrivals and cores times this")->check(CLI::Range(0.01, 100.0));
  app.add_option("--together", together, "Plays at the same time")->check(CLI::Range(1u, 64u));
  app.add_option("--program", program, "The tile server");
  CLI11_PARSE(app, argc, argv);
  if (files.empty())
    for (const auto* name : {"one_hangs", "one_slow", "both_down"})
      files.push_back(std::string(SCENARIOS "/") + name + ".cue");
  std::vector<standin::Scenario> scenarios;
  for (const auto& file : files) {
    const auto document = typed_config::load(file);
    const auto* bad = std::get_if<typed_config::Error>(&document);
    auto scenario = bad ? std::variant<standin::Scenario, standin::Errors>(standin::Errors{*bad})
                        : standin::read_scenario(std::get<typed_config::Document>(document));
    if (const auto* errors = std::get_if<standin::Errors>(&scenario)) {
      for (const auto& e : *errors) std::fprintf(stderr, "%s\n", e.text().c_str());
      return 2;
    }
    auto& s = std::get<standin::Scenario>(scenario);
    s.rate *= scale;
    s.cores = std::max(1, int(std::lround(s.cores * scale)));
    scenarios.push_back(std::move(s));
  }
  struct Task {
    std::size_t scenario;
    Policy policy;
  };
  std::vector<Task> tasks;
  for (std::size_t i = 0; i < scenarios.size(); ++i)
    for (const auto policy : {Policy::fault_free, Policy::guarded, Policy::plain})
      tasks.push_back({i, policy});
  std::vector<std::vector<Arrival>> arrivals;
  for (const auto& s : scenarios) arrivals.push_back(arrivals_of(s, seed));
  std::vector<Json> results(tasks.size());
  std::atomic<std::size_t> next = 0;
  std::mutex starting;
  std::vector<std::future<void>> workers;
  for (unsigned w = 0; w < std::min<std::size_t>(together, tasks.size()); ++w)
    workers.push_back(std::async(std::launch::async, [&] {
      for (std::size_t t = next++; t < tasks.size(); t = next++) {
        const auto& [i, policy] = tasks[t];
        const auto played = play(scenarios[i], policy, arrivals[i], seed, program);
        results[t] = figures(scenarios[i], arrivals[i], played);
      }
    }));
  for (auto& w : workers) w.get();
  Json out{{"seed", seed}, {"scale", scale}};
  for (std::size_t t = 0; t < tasks.size(); ++t)
    out["scenarios"][scenarios[tasks[t].scenario].name][kPolicies[int(tasks[t].policy)]] = results[t];
  for (auto& [name, s] : out["scenarios"].items()) {
    const Json clean = s["fault_free"], guarded = s["guarded"], plain = s["plain"];
    s["guarded_to_fault_free"] = ratio(guarded, clean, "fault_worth");
    s["guarded_to_plain"] = ratio(guarded, plain, "fault_worth");
    s["others_to_fault_free"] = ratio(guarded, clean, "other_worth");
    std::fprintf(stderr,
                 "%-12s guarded/fault-free %.3f  guarded/plain %.2f  others %.3f  calls/request %.3f  back "
                 "after %s ms\n",
                 name.c_str(), s["guarded_to_fault_free"].get<double>(), s["guarded_to_plain"].get<double>(),
                 s["others_to_fault_free"].get<double>(), guarded["calls_per_request"].get<double>(),
                 guarded["recovered_ms"].dump().c_str());
  }
  std::printf("%s\n", out.dump().c_str());
  return 0;
}

}  // namespace
}  // namespace granitegap::bench

int main(int argc, char** argv) {
  try {
    return granitegap::bench::run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "granitegap_bench_dependencies: %s\n", e.what());
    return 1;
  }
}
